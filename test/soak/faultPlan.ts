import * as z from 'zod/mini';
import { SeededRandom } from '../../src/base/common/seededRandom.ts';

const target = z.string();
const forMs = z.int();
const directions = z.array(z.enum(['out', 'back']));
/** Share of the calls that a fault acts on. */
const share = z.number();
/** A fault may act on many workers at a time. */
const workers = z.array(target);

/** A fault, or a change by operators, workers or callers. `link` is `from>to`; `forMs` is how long it acts. */
export const faultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('kill'), process: target, forMs }),
  z.object({ kind: z.literal('terminate'), process: target, forMs }),
  z.object({ kind: z.literal('freeze'), process: target, forMs }),
  z.object({ kind: z.literal('reload'), process: target, forMs }),
  z.object({ kind: z.literal('delayLink'), link: target, delayMs: z.int(), forMs }),
  z.object({ kind: z.literal('cutLink'), link: target, directions, forMs }),
  z.object({ kind: z.literal('silenceLink'), link: target, directions, forMs }),
  z.object({ kind: z.literal('resetLink'), link: target, forMs }),
  z.object({ kind: z.literal('cutProcess'), process: target, directions, forMs }),
  z.object({ kind: z.literal('resetProcess'), process: target, forMs }),
  z.object({ kind: z.literal('workerLosesAnswers'), workers, share, forMs }),
  z.object({ kind: z.literal('workerActsLate'), workers, share, forMs }),
  z.object({ kind: z.literal('workerRefuses'), workers, share, forMs }),
  z.object({ kind: z.literal('workerFails'), workers, forMs }),
  z.object({ kind: z.literal('workerStalls'), workers, forMs }),
  z.object({ kind: z.literal('workerCrash'), worker: target, keepsId: z.boolean(), forMs }),
  z.object({ kind: z.literal('workerGone'), worker: target, forMs }),
  z.object({ kind: z.literal('workerDrains'), worker: target, keepsId: z.boolean(), forMs }),
  z.object({
    kind: z.literal('storeDown'),
    how: z.enum(['refuses', 'resets', 'hangs']),
    /** Processes that are turned away; none stands for all. */
    processes: z.array(target),
    forMs,
  }),
  z.object({ kind: z.literal('storeSlow'), delayMs: z.int(), forMs }),
  z.object({ kind: z.literal('storeLosesAnswers'), share, forMs }),
  z.object({ kind: z.literal('storeActsLate'), share, forMs }),
  z.object({ kind: z.literal('storeForgets'), forMs }),
  z.object({ kind: z.literal('changeConfiguration'), forMs }),
  z.object({ kind: z.literal('zoneOut'), zone: target, forMs }),
  z.object({ kind: z.literal('cancelJobs'), share, forMs }),
  z.object({ kind: z.literal('submitBurst'), jobs: z.int(), forMs }),
]);
export type Fault = z.infer<typeof faultSchema>;
export type FaultKind = Fault['kind'];

/** Faults on what has a role at the moment of the fault; each stands for some of the faults above. */
export const roleFaultSchema = z.discriminatedUnion('kind', [
  /** The worker with the most lasting tasks ends, and comes back after `forMs` if it does at all. */
  z.object({
    kind: z.literal('loseWorker'),
    returns: z.enum(['never', 'sameId', 'newId']),
    /** Time after which its agent, which is killed with it, starts again; 0 if the agent lives. */
    agentRestartMs: z.int(),
    forMs,
  }),
  /** The worker with the most lasting tasks works on, and its agent does not reach it. */
  z.object({ kind: z.literal('cutWorkerOff'), forMs }),
  z.object({
    kind: z.literal('killOwner'),
    /** Killed while no entry owns the scheduling. */
    fallback: target,
    /** Killed with the owner. */
    entries: z.array(target),
    forMs,
  }),
]);
export type RoleFault = z.infer<typeof roleFaultSchema>;

export interface PlannedFault {
  /** Time from the start of the plan, ms. */
  readonly at: number;
  readonly fault: Fault | RoleFault;
}

/** What the faults of a plan can act on. */
export interface SoakShape {
  readonly entries: readonly string[];
  readonly agents: readonly string[];
  readonly workers: readonly string[];
  readonly zones: readonly string[];
  /** `from>to` of every proxy. */
  readonly links: readonly string[];
  /** Time in which faults begin, ms. */
  readonly lengthMs: number;
}

/** `workerGone` follows from faults on roles only. */
type DrawnKind = Exclude<FaultKind, 'workerGone'>;

/** Work that operators plan; a plan with no other faults checks graceful shutdowns. */
const PLANNED: readonly DrawnKind[] = [
  'terminate',
  'reload',
  'changeConfiguration',
  'zoneOut',
  'workerDrains',
  'cancelJobs',
  'submitBurst',
];
const UNPLANNED: readonly DrawnKind[] = [
  'kill',
  'freeze',
  'delayLink',
  'cutLink',
  'silenceLink',
  'resetLink',
  'cutProcess',
  'resetProcess',
  'workerLosesAnswers',
  'workerActsLate',
  'workerRefuses',
  'workerFails',
  'workerStalls',
  'workerCrash',
  'storeDown',
  'storeSlow',
  'storeLosesAnswers',
  'storeActsLate',
  'storeForgets',
];
/** Mean time between two series of faults. */
const SERIES_GAP_MS = 1_200;
/** Mean time between the faults of a series; each acts for longer, so they overlap. */
const FAULT_GAP_MS = 400;
const MAX_SERIES = 5;
/** One plan in so many has planned work only. */
const PLANNED_ONLY_EVERY = 5;

/** Draws series of faults that overlap; the same seed and shape give the same plan. */
export function createFaultPlan(seed: number, shape: SoakShape): PlannedFault[] {
  const random = SeededRandom.create(seed);
  const kinds =
    seed % PLANNED_ONLY_EVERY === 0 ? PLANNED : [...PLANNED, ...UNPLANNED, ...UNPLANNED];
  const plan: PlannedFault[] = [];
  for (let at = 0; at < shape.lengthMs; at += random.takeExponential(SERIES_GAP_MS)) {
    const kind = choose(random, kinds);
    let faultAt = at;
    for (let left = random.takeInt(1, MAX_SERIES); left > 0; left -= 1) {
      // A series repeats one kind of fault, mixed with others.
      const next = random.takeUnit() < 0.7 ? kind : choose(random, kinds);
      if (faultAt < shape.lengthMs)
        plan.push({ at: Math.round(faultAt), fault: createFault(next, shape, random) });
      faultAt += random.takeExponential(FAULT_GAP_MS);
    }
  }
  return plan.sort((left, right) => left.at - right.at);
}

export function formatFault({ at, fault: { kind, ...fields } }: PlannedFault): string {
  const pairs = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
  return `at=${at} kind=${kind} ${pairs.join(' ')}`;
}

export function choose<Item>(random: SeededRandom, items: readonly Item[]): Item {
  const item = items[random.takeInt(0, items.length - 1)];
  if (item === undefined) throw new Error('nothing to choose from');
  return item;
}

function createFault(kind: DrawnKind, shape: SoakShape, random: SeededRandom): Fault {
  const process = choose(random, [
    ...shape.entries,
    ...shape.entries,
    ...shape.entries,
    ...shape.agents,
  ]);
  const worker = choose(random, shape.workers);
  const hitShare = choose(random, [0, 0.3, 0.9]);
  const workers = shape.workers.filter((name) => name === worker || random.takeUnit() < hitShare);
  // Beyond the lease of the owner's key (1.5 s) and of the runs (5 s) at times.
  const forMs = random.takeInt(200, random.takeUnit() < 0.3 ? 7_000 : 2_500);
  const part = choose(random, [0.2, 0.5, 0.9]);
  const directions = choose(random, [
    ['out' as const],
    ['back' as const],
    ['out', 'back'] as const,
  ]);
  const ways = [...directions];
  switch (kind) {
    case 'kill':
    case 'terminate':
      return { kind, process, forMs: random.takeInt(100, 1_500) };
    case 'freeze':
    case 'resetProcess':
      return { kind, process, forMs };
    case 'reload':
      return { kind, process, forMs: 0 };
    case 'cutProcess':
      return { kind, process, directions: ways, forMs };
    case 'delayLink':
      return { kind, link: choose(random, shape.links), delayMs: random.takeInt(5, 400), forMs };
    case 'cutLink':
    case 'silenceLink':
      return { kind, link: choose(random, shape.links), directions: ways, forMs };
    case 'resetLink':
      return { kind, link: choose(random, shape.links), forMs: 0 };
    case 'workerLosesAnswers':
    case 'workerActsLate':
    case 'workerRefuses':
      return { kind, workers, share: part, forMs };
    case 'workerFails':
    case 'workerStalls':
      return { kind, workers, forMs };
    case 'workerCrash':
    case 'workerDrains':
      return { kind, worker, keepsId: random.takeUnit() < 0.5, forMs: random.takeInt(300, 3_000) };
    case 'storeDown': {
      const how = choose(random, ['refuses', 'resets', 'hangs'] as const);
      const all = [...shape.entries, ...shape.agents];
      const turnedAway = random.takeUnit() < 0.5 ? [] : all.filter(() => random.takeUnit() < 0.4);
      return { kind, how, processes: turnedAway, forMs };
    }
    case 'storeSlow':
      return { kind, delayMs: random.takeInt(20, 800), forMs };
    case 'storeLosesAnswers':
    case 'storeActsLate':
      return { kind, share: part, forMs };
    case 'storeForgets':
    case 'changeConfiguration':
      return { kind, forMs: 0 };
    case 'zoneOut':
      return { kind, zone: choose(random, shape.zones), forMs: random.takeInt(1_000, 12_000) };
    case 'cancelJobs':
      return { kind, share: part, forMs: 0 };
    case 'submitBurst':
      return { kind, jobs: random.takeInt(1, 2 * shape.agents.length), forMs: 0 };
  }
}
