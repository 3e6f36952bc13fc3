import { ManualClock } from '../../src/base/common/clock.ts';
import { Loop } from '../../src/base/common/loop.ts';
import { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { System } from '../../src/base/common/system.ts';
import type { Configuration } from '../../src/model/configuration.ts';
import type { EntryArrival, EntryEffect } from '../../src/model/effects.ts';
import type { EntryState } from '../../src/model/entryState.ts';
import { createEntryState } from '../../src/model/entryState.ts';
import type { StoreReply } from '../../src/model/store.ts';
import { MemoryStore } from '../../src/standins/memoryStore.ts';
import { CONFIGURATION_KEY } from '../../src/systems/configuration/applyConfiguration.ts';
import { ConfigurationWriteSystem } from '../../src/systems/configuration/configurationWriteSystem.ts';
import type { ConfigurationState } from '../../specs/configurationProtocol.ts';

type CallEffect = Extract<EntryEffect, { kind: 'callStore' }>;

/** One entry whose calls to the store are delivered by the replay. */
interface Entry {
  readonly state: EntryState;
  readonly loop: Loop<EntryArrival, EntryEffect, EntryState>;
  readonly calls: CallEffect[];
  /** Answer to the operator: `value` or the kind of the failure. */
  answer: string | undefined;
}

/** Period of the readers' conditional reads, and longer than the pause before a call is repeated. */
const PERIOD_MS = 1_000;

/**
 * Carries out the steps of the configuration protocol: an entry with the write system for each
 * operator, an entry with the read system for each reader, one store.
 */
export class ConfigurationReplay {
  /** Writers and readers have clocks of their own: a writer's repeats must wait for their step. */
  private readonly writerClock = ManualClock.create(1_000);
  private readonly readerClock = ManualClock.create(1_000);
  private readonly store = MemoryStore.create(this.writerClock);
  private readonly writers: Entry[];
  private readonly readers: Entry[];
  /** Writes on their way by operator, and answers on their way by reader. */
  private readonly sent: CallEffect[][] = [[], []];
  private readonly answers: { callId: string; reply: StoreReply; revision: number }[][] = [[], []];
  private readonly accepted: number[] = [];

  private constructor(createReader: () => System<EntryState>) {
    this.writers = [0, 1].map((index) =>
      this.createEntry(`writer-${index}`, ConfigurationWriteSystem.create(), this.writerClock),
    );
    this.readers = [0, 1].map((index) =>
      this.createEntry(`reader-${index}`, createReader(), this.readerClock),
    );
  }

  static create(createReader: () => System<EntryState>): ConfigurationReplay {
    return new ConfigurationReplay(createReader);
  }

  /** Carries out one step and compares store, answers and readers with the model's state after it. */
  run(label: string, after: ConfigurationState): void {
    const operator = Number(/operator (\d)/.exec(label)?.[1]);
    const reader = Number(/reader (\d)/.exec(label)?.[1]);
    const revision = Number(/revision (\d+)$/.exec(label)?.[1]);
    if (label.includes('applies an edit')) this.apply(operator, revision);
    else if (label.startsWith('write of')) this.deliverWrites(operator);
    else if (label.startsWith('the answer to')) this.loseAnswer(operator);
    else if (label.endsWith('reads back')) this.readBack(operator);
    else if (label.startsWith('a source answers')) this.answerReader(reader);
    else if (label.includes('receives revision')) this.deliverAnswer(reader, revision);
    this.check(label, after);
  }

  private apply(operator: number, baseRevision: number): void {
    const pool = {
      name: `pool-${operator}`,
      region: 'r',
      zones: ['a'],
      workClass: 'batch' as const,
    };
    const shared = { services: [], quotas: [], spread: 'none' as const, maxWorkerShare: 1 };
    const tables = { routes: [], pools: [{ ...pool, ...shared }] };
    const call = { kind: 'applyConfig', baseRevision, tables } as const;
    this.receive(operator, { kind: 'operatorCall', callId: `edit-${operator}`, call });
  }

  /** Both copies of a write that was sent again arrive one after the other. */
  private deliverWrites(operator: number): void {
    for (const { callId, call } of this.sent[operator]!.splice(0)) {
      const reply = this.store.handle(call);
      if (reply.kind === 'written') this.accepted.push(operator);
      this.receive(operator, { kind: 'storeReply', callId, reply });
    }
  }

  private loseAnswer(operator: number): void {
    const callId = this.writers[operator]!.state.configWrites.list()[0]?.pendingCallId;
    if (callId === undefined) return;
    const reply = { kind: 'unavailable', message: 'no answer' } as const;
    this.receive(operator, { kind: 'storeReply', callId, reply });
  }

  private readBack(operator: number): void {
    this.writerClock.advance(PERIOD_MS);
    this.runWriter(operator);
  }

  private receive(operator: number, arrival: EntryArrival): void {
    this.writers[operator]!.loop.receive(arrival);
    this.runWriter(operator);
  }

  /** Answers reads at once and keeps writes until their step. */
  private runWriter(operator: number): void {
    const { loop, calls } = this.writers[operator]!;
    loop.runTick();
    for (let effect = calls.shift(); effect !== undefined; effect = calls.shift()) {
      if (effect.call.op === 'write') {
        this.sent[operator]!.push(effect);
        continue;
      }
      const reply = this.store.handle(effect.call);
      loop.receive({ kind: 'storeReply', callId: effect.callId, reply });
      loop.runTick();
    }
  }

  private answerReader(reader: number): void {
    const { loop, calls } = this.readers[reader]!;
    this.readerClock.advance(PERIOD_MS);
    loop.runTick();
    const read = calls.splice(0).find(({ call }) => call.op === 'read');
    if (read === undefined) throw new Error(`reader ${reader} does not read the store`);
    const reply = this.store.handle(read.call);
    this.answers[reader]!.push({ callId: read.callId, reply, revision: this.accepted.length });
  }

  private deliverAnswer(reader: number, revision: number): void {
    const held = this.answers[reader]!;
    const at = held.findIndex((answer) => answer.revision === revision);
    const [answer] = held.splice(at, 1);
    const { loop } = this.readers[reader]!;
    loop.receive({ kind: 'storeReply', callId: answer!.callId, reply: answer!.reply });
    loop.runTick();
  }

  private createEntry(id: string, system: System<EntryState>, clock: ManualClock): Entry {
    const state = createEntryState({ id, region: 'r', zone: 'a', address: id }, 'boot');
    const calls: CallEffect[] = [];
    const loop = Loop.create<EntryArrival, EntryEffect, EntryState>({
      ...{ state, systems: [system], clock, random: SeededRandom.create(Number(id.at(-1)) + 1) },
      handleEffect: (effect) => {
        if (effect.kind === 'callStore') calls.push(effect);
        if (effect.kind === 'answerOperator')
          entry.answer =
            effect.answer.kind === 'failure' ? effect.answer.failure.kind : effect.answer.kind;
      },
    });
    const entry: Entry = { state, loop, calls, answer: undefined };
    return entry;
  }

  private check(label: string, after: ConfigurationState): void {
    compare(label, 'accepted edits', this.accepted, after.accepted);
    const reply = this.store.handle({ op: 'read', key: CONFIGURATION_KEY });
    const stored =
      reply.kind === 'entry' ? (reply.entry.value as Configuration | undefined) : undefined;
    compare(label, 'stored revision', stored?.revision ?? 0, after.accepted.length);
    after.readers.forEach(({ revision }, index) => {
      const { current } = this.readers[index]!.state.configuration;
      compare(label, `revision of reader ${index}`, current.revision, revision);
    });
    after.operators.forEach((operator, index) => {
      const allowed = listAllowedAnswers(after, operator, index);
      const answer = this.writers[index]!.answer ?? 'none';
      if (!allowed.includes(answer))
        throw new Error(`${label}: operator ${index} got ${answer}, allowed ${allowed.join(', ')}`);
    });
  }
}

/**
 * Answers that agree with the model. The code may answer `outcome_unknown` when a later revision
 * covers the one in question, and it refuses a stale edit before it is sent, which the model does
 * when the write arrives.
 */
function listAllowedAnswers(
  { accepted }: ConfigurationState,
  { phase, base }: ConfigurationState['operators'][number],
  author: number,
): string[] {
  const covered = accepted.length > base + 1 ? ['outcome_unknown'] : [];
  if (phase === 'accepted') return ['value', ...covered];
  if (phase === 'conflict') return ['config_conflict', ...covered];
  const isLost = accepted.length > base && accepted[base] !== author;
  return phase === 'writing' || phase === 'inDoubt'
    ? ['none', ...(isLost ? ['config_conflict'] : [])]
    : ['none'];
}

function compare(label: string, quantity: string, real: unknown, model: unknown): void {
  const [left, right] = [JSON.stringify(real), JSON.stringify(model)];
  if (left !== right) throw new Error(`${label}: ${quantity}: code ${left}, model ${right}`);
}
