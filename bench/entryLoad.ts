import { ManualClock } from '../src/base/common/clock.ts';
import { Loop } from '../src/base/common/loop.ts';
import { SeededRandom } from '../src/base/common/seededRandom.ts';
import type { EntryArrival, EntryEffect } from '../src/model/effects.ts';
import type { EndpointReport } from '../src/model/endpoint.ts';
import type { EntryState } from '../src/model/entryState.ts';
import { createEntryState } from '../src/model/entryState.ts';
import type { ExchangeRequest } from '../src/model/exchange.ts';
import { exchangeRequestSchema } from '../src/model/exchange.ts';
import type { PeerCall } from '../src/model/peer.ts';
import { peerCallSchema } from '../src/model/peer.ts';
import { decodeMessage, encodeMessage } from '../src/protocol/common/codec.ts';
import { MemoryStore } from '../src/standins/memoryStore.ts';
import { createEntrySystems } from '../src/systems/entrySystems.ts';
import { hashEntryList } from '../src/systems/membership/entryList.ts';
import { buildEndpointReport, buildRequest, buildTask, POOL, REGION } from './entryLoadRows.ts';
import { EventQueue } from './eventQueue.ts';

const DELAY_MS = 5;
const PEER = 'entry-1';
const SECOND_MS = 1_000;

export interface EntryLoadOptions {
  readonly seed: number;
  /** Agents that exchange with the entry, each with one endpoint. */
  readonly agents: number;
  /** Endpoints that the other entry of the region passes on. */
  readonly peerEndpoints: number;
  /** How many of the agents have a worker, and the tasks on each; the entry owns the shard. */
  readonly workers: number;
  readonly tasksPerWorker: number;
}

/** Cost of an entry a second. */
export interface EntryLoadFigures {
  /** Turns of the loop, and decoding and encoding of messages, in percent of one core. */
  readonly processorPercent: number;
  readonly syncBytes: number;
  readonly exchanges: number;
  readonly exchangeBytes: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  readonly storeBytes: number;
}

/** The systems of one entry on a manual clock; agents, the other entry and the store are fakes. */
export class EntryLoad {
  readonly state: EntryState;
  private readonly clock = ManualClock.create(SECOND_MS);
  private readonly store = MemoryStore.create(this.clock);
  private readonly events = EventQueue.create();
  private readonly loop: Loop<EntryArrival, EntryEffect, EntryState>;
  private readonly effects: EntryEffect[] = [];
  private readonly peerReports: EndpointReport[];
  private nextTickMs = Number.POSITIVE_INFINITY;
  private peerSeq = 0;
  /** Agents that know the entry list get no answer before their exchange has waited. */
  private entriesDigest = 0;
  private figures = createFigures();

  private constructor(private readonly options: EntryLoadOptions) {
    const info = { id: 'entry-0', region: REGION, zone: 'busan-a', address: '10.0.0.1:7103' };
    this.state = createEntryState(info, 'boot-0');
    this.peerReports = Array.from({ length: options.peerEndpoints }, (_, index) =>
      buildEndpointReport(`agent-of-peer-${index}`),
    );
    this.loop = Loop.create<EntryArrival, EntryEffect, EntryState>({
      state: this.state,
      systems: createEntrySystems(),
      clock: this.clock,
      random: SeededRandom.create(options.seed),
      handleEffect: (effect) => this.effects.push(effect),
    });
    this.loadStore();
  }

  /** Starts the entry and its fakes and waits until every message flows at its steady rate. */
  static create(options: EntryLoadOptions): EntryLoad {
    const load = new EntryLoad(options);
    load.runTick();
    load.runFor(12 * SECOND_MS);
    load.loadTasks();
    load.startFakes();
    load.runFor(6 * SECOND_MS);
    return load;
  }

  /** Runs for some seconds of the manual clock and returns the cost a second. */
  measure(seconds: number): EntryLoadFigures {
    this.figures = createFigures();
    this.runFor(seconds * SECOND_MS);
    const { processorMs, ...sums } = this.figures;
    const entries = Object.entries(sums).map(([name, sum]) => [name, sum / seconds]);
    const processorPercent = (processorMs / (seconds * SECOND_MS)) * 100;
    return { ...(Object.fromEntries(entries) as typeof sums), processorPercent };
  }

  private loadStore(): void {
    const pools = this.options.workers > 0 ? [POOL] : [];
    const configuration = { revision: 1, token: 't', routes: [], pools, zonesOut: [] };
    const peer = { id: PEER, region: REGION, zone: 'ulsan-b', address: '10.0.0.2:7103' };
    for (const [key, value] of [
      ['config/current', configuration],
      [`entries/${REGION}/${PEER}`, { ...peer, bootId: 'boot-1' }],
    ] as const)
      this.store.handle({ op: 'write', key, expectedVersion: 0, value });
  }

  private loadTasks(): void {
    if (this.options.workers === 0) return;
    const ownership = this.state.duties.get(REGION);
    if (ownership?.phase !== 'holding') throw new Error('the entry does not own the shard');
    for (let worker = 0; worker < this.options.workers; worker += 1)
      for (let task = 0; task < this.options.tasksPerWorker; task += 1)
        this.state.tasks.set(buildTask(worker, task));
  }

  private startFakes(): void {
    const { agents } = this.options;
    this.entriesDigest = hashEntryList(this.state.entries.values());
    // Spread over the second, as agents that were started at different times are.
    for (let index = 0; index < agents; index += 1)
      this.schedule((index * SECOND_MS) / agents, () => {
        this.sendExchange(index, 1);
      });
    if (this.peerReports.length > 0)
      this.schedule(0, () => {
        this.sendSync();
      });
  }

  private sendExchange(index: number, seq: number): void {
    const { workers, tasksPerWorker } = this.options;
    const tasks = index < workers ? tasksPerWorker : undefined;
    this.figures.exchanges += 1;
    const bytes = encodeMessage(buildRequest(index, seq, this.entriesDigest, tasks));
    this.figures.exchangeBytes += bytes.byteLength;
    const request = this.measureWork(
      () => decodeMessage(exchangeRequestSchema, bytes).extract() as ExchangeRequest,
    );
    this.receive({ kind: 'exchange', callId: `${index}|${seq}`, request });
  }

  /** The other entry confirms each of its endpoints once a second. */
  private sendSync(): void {
    this.peerSeq += 1;
    const bytes = encodeMessage({
      ...{ kind: 'sync', entryId: PEER, entryBootId: 'boot-1', seq: this.peerSeq },
      ...{ full: this.peerSeq % 5 === 0, removed: [], configRevision: 1 },
      endpoints: this.peerReports.map((report) => ({ report, ageMs: 10 })),
    });
    this.figures.syncBytes += bytes.byteLength;
    const call = this.measureWork(() => decodeMessage(peerCallSchema, bytes).extract() as PeerCall);
    this.receive({ kind: 'peerCall', callId: `sync-${this.peerSeq}`, from: PEER, call });
    this.schedule(SECOND_MS, () => {
      this.sendSync();
    });
  }

  private receive(arrival: EntryArrival): void {
    this.loop.receive(arrival);
    this.runTick();
  }

  private runTick(): void {
    const wakeAtMs = Math.max(
      this.measureWork(() => this.loop.runTick()),
      this.clock.now + 0.01,
    );
    for (const effect of this.effects.splice(0)) this.handleEffect(effect);
    if (wakeAtMs === Infinity) return;
    if (this.nextTickMs > this.clock.now && this.nextTickMs <= wakeAtMs) return;
    this.nextTickMs = wakeAtMs;
    this.schedule(wakeAtMs - this.clock.now, () => {
      if (this.nextTickMs === wakeAtMs) this.runTick();
    });
  }

  private handleEffect(effect: EntryEffect): void {
    if (effect.kind === 'callStore') this.callStore(effect);
    else if (effect.kind === 'callPeer') this.callPeer(effect);
    else if (effect.kind === 'answerExchange') {
      const [index, seq] = effect.callId.split('|').map(Number);
      this.figures.exchangeBytes += this.measureWork(() => encodeMessage(effect.reply)).byteLength;
      this.schedule(DELAY_MS, () => {
        this.sendExchange(index ?? 0, (seq ?? 0) + 1);
      });
    }
  }

  private callPeer(effect: Extract<EntryEffect, { kind: 'callPeer' }>): void {
    const { callId, call } = effect;
    if (call.kind !== 'sync') return;
    this.figures.syncBytes += this.measureWork(() => encodeMessage(call)).byteLength;
    this.schedule(DELAY_MS, () => {
      const reply = { kind: 'synced', seq: call.seq, configRevision: 1 } as const;
      this.receive({ kind: 'peerReply', callId, reply });
    });
  }

  private callStore({ call, callId }: Extract<EntryEffect, { kind: 'callStore' }>): void {
    const isRead = call.op === 'read' || call.op === 'list' || call.op === 'watch';
    this.figures[isRead ? 'storeReads' : 'storeWrites'] += 1;
    this.figures.storeBytes += this.measureWork(() => encodeMessage(call)).byteLength;
    const reply = this.store.handle(call);
    const isHeld = call.op === 'watch' && reply.kind === 'unchanged';
    this.schedule(isHeld ? call.waitMs : DELAY_MS, () => {
      this.receive({ kind: 'storeReply', callId, reply });
    });
  }

  private measureWork<Result>(work: () => Result): Result {
    const startMs = readProcessorMs();
    const result = work();
    this.figures.processorMs += readProcessorMs() - startMs;
    return result;
  }

  private schedule(delayMs: number, run: () => void): void {
    this.events.add({ atMs: this.clock.now + delayMs, run });
  }

  private runFor(durationMs: number): void {
    const untilMs = this.clock.now + durationMs;
    for (let event = this.events.take(untilMs); event; event = this.events.take(untilMs)) {
      this.clock.advance(Math.max(0, event.atMs - this.clock.now));
      event.run();
    }
    this.clock.advance(untilMs - this.clock.now);
  }
}

/** Processor time of this process; elapsed time would include waiting for a processor. */
function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

type FigureName = Exclude<keyof EntryLoadFigures, 'processorPercent'> | 'processorMs';

function createFigures(): Record<FigureName, number> {
  return {
    ...{ processorMs: 0, syncBytes: 0, exchanges: 0, exchangeBytes: 0 },
    ...{ storeReads: 0, storeWrites: 0, storeBytes: 0 },
  };
}
