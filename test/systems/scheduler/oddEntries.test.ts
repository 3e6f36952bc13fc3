import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { OPERATOR_KEYS } from '../../../src/model/scheduler/queueConfiguration.ts';
import { buildNestedJson, INVALID_ADDRESSES } from '../../support/invalidValues.ts';
import { createJobId, createWorld, JOB, readPhase, writeValue } from '../../support/jobWorld.ts';
import { createJobSpec } from '../../support/worldNodes.ts';

const RUNS = 40;
const SEED = 20_261_205;

/** Ids that another writer may use; some are members of every object. */
const ODD_IDS = [
  '__proto__',
  'constructor',
  'toString',
  'a|b',
  'a.0.0.0',
  '',
  '\ud800',
  'x'.repeat(180),
  'line\nbreak',
  createJobId(500),
];

const ODD_NUMBERS = [1e308, Number.MAX_SAFE_INTEGER, 2 ** 53, -1, 0.5, -0, 100_000, 2 ** 31];

const VALID_RECORDS: readonly object[] = [
  {
    queue: 'queue',
    service: 'svc',
    spec: createJobSpec([{ count: 1 }, { count: 2, after: [0] }], { occurrences: 2 }),
    acceptedAtMs: 1,
  },
  {
    queue: 'removed',
    service: 'svc',
    spec: createJobSpec([{ count: 2, gang: true }], {}),
    acceptedAtMs: 1,
    terms: {
      service: 'svc',
      priority: 1,
      attempts: 2,
      stretch: 2,
      latencyObjectiveMs: 500,
      advice: { decideMs: 20, perWorkerMs: 1, validMs: 5_000 },
    },
  },
  { address: 'agent-9:7000', zone: 'a', goneWorker: { id: 'worker-agent-0', bornMs: 1 } },
  {
    phase: 'running',
    epoch: 1,
    change: 1,
    tasks: { '0.0.0': { lastRun: 1, open: [{ run: 1, worker: 'agent-0|worker-agent-0|1' }] } },
  },
  {
    format: 2,
    phase: 'running',
    terms: { service: 'svc', priority: 1, attempts: 2, stretch: 2, latencyObjectiveMs: 500 },
    epoch: 1,
    change: 1,
    tasks: { '0.0.0': { lastRun: 1, failures: 1, failedRun: 1 }, '0.0.1': { lastRun: 1 } },
  },
  { kind: 'wave', wave: { number: 1, instances: ['constructor'], withinMs: 1, maxDown: 1 } },
  { change: 1, startedAtMs: 1, isCompleted: false, instances: { constructor: 'ordered' } },
  { home: 'a', pool: 'b', heading: 'out', isSettled: false },
];

const oddValue = fc.oneof(
  fc.jsonValue({ maxDepth: 3 }),
  fc.constantFrom<unknown>(...ODD_NUMBERS, ...INVALID_ADDRESSES, 'x'.repeat(100_000)),
  fc.constant(JSON.parse(buildNestedJson(50_000)) as unknown),
);

/** Replaces the value at one place of a record, at any depth. */
function replaceAt(record: unknown, place: number, value: unknown): unknown {
  let index = 0;
  const visit = (node: unknown): unknown => {
    index += 1;
    if (index - 1 === place) return value;
    if (Array.isArray(node)) return node.map(visit);
    if (typeof node !== 'object' || node === null) return node;
    return Object.fromEntries(Object.entries(node).map(([key, item]) => [key, visit(item)]));
  };
  return visit(record);
}

const oddRecord = fc.oneof(
  oddValue,
  fc
    .tuple(fc.constantFrom(...VALID_RECORDS), fc.nat(40), oddValue)
    .map(([record, place, value]) => replaceAt(record, place, value)),
);

const oddKey = fc
  .tuple(
    fc.constantFrom(
      STORE_KEYS.jobPrefix,
      STORE_KEYS.cancelPrefix,
      STORE_KEYS.agentPrefix,
      STORE_KEYS.progressPrefix,
      STORE_KEYS.transferPrefix,
      STORE_KEYS.waveProgress(''),
      STORE_KEYS.waveStatusPrefix,
      OPERATOR_KEYS.wavePrefix,
      OPERATOR_KEYS.zoneOut(''),
      'in/x/',
    ),
    fc.constantFrom(...ODD_IDS),
  )
  .map(([prefix, id]) => prefix + id);

describe('odd entries in the store', () => {
  describe('of any kind', () => {
    it('change nothing for the other entries, before or after a takeover', () => {
      fc.assert(
        fc.property(oddKey, oddRecord, (key, value) => {
          const { world, entry } = createWorld(2, 2);
          world.addInstances();
          writeValue(world, key, value);
          world.submit(entry, JOB, [{ count: 2 }]);
          world.run(2_500);
          expect(readPhase(world, entry)).toBe('completed');
          world.kill(world.owner!);
          world.run(5_000);
          const owner = world.owner!;
          world.submit(owner, createJobId(2), [{ count: 2 }]);
          world.run(2_500);
          expect(readPhase(world, owner, createJobId(2))).toBe('completed');
        }),
        { numRuns: RUNS, seed: SEED },
      );
    });
  });

  describe('with names or numbers out of range', () => {
    it('of a wave do not take a phase from the members of every object', () => {
      const { world } = createWorld(1, 1);
      world.addInstances();
      writeValue(world, OPERATOR_KEYS.wave('1'), {
        kind: 'wave',
        wave: { number: 1, instances: ['constructor', 'toString'], withinMs: 60_000, maxDown: 2 },
      });
      writeValue(world, STORE_KEYS.waveProgress('1'), {
        change: 1,
        startedAtMs: 1,
        isCompleted: false,
        instances: {},
      });
      world.run(2_000);
      const phases = [...world.owner!.state.fleet.maintenance.values()].map(({ phase }) => phase);
      expect(phases).toHaveLength(2);
      for (const phase of phases) expect(phase).toEqual(expect.any(String));
    });

    it('of one job do not exhaust the memory of every owner', () => {
      const { world, entry } = createWorld(1, 1);
      const step = { ...createJobSpec([{}], {}).steps[0]!, count: 100_000 };
      const spec = { payload: '', steps: [step, step], occurrences: 100_000 };
      writeValue(world, STORE_KEYS.job(JOB), {
        queue: 'queue',
        service: 'svc',
        spec: { ...spec, startAtMs: 0, intervalMs: 0 },
        acceptedAtMs: 1,
      });
      world.run(1_000);
      expect(entry.state.tasks.size).toBe(0);
      expect(world.logs.filter(({ event }) => event === 'job_unreadable')).toHaveLength(1);
    });
  });

  describe('in repeated lists', () => {
    it('are not logged again with each list of the store', () => {
      const { world, entry } = createWorld(1, 1);
      writeValue(world, STORE_KEYS.agent('odd'), { address: '10.0.0.1:99999', zone: 'a' });
      world.run(500);
      for (let lists = 0; lists < 3; lists += 1) {
        entry.state.intake.listAt = world.clock.now;
        world.run(1_000);
      }
      const count = (): number =>
        world.logs.filter(({ event }) => event === 'agent_unreadable').length;
      expect(count()).toBe(1);
      writeValue(world, STORE_KEYS.agent('odd'), { address: '10.0.0.1:-1', zone: 'a' });
      world.run(500);
      expect(count()).toBe(2);
      expect(entry.state.counters.get('unreadable_entries', { event: 'agent_unreadable' })).toBe(2);
    });
  });
});
