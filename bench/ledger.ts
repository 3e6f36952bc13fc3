import { performance } from 'node:perf_hooks';
import { ManualClock } from '../src/base/common/clock.ts';
import { Loop } from '../src/base/common/loop.ts';
import { SeededRandom } from '../src/base/common/seededRandom.ts';
import type { EntryArrival, EntryEffect } from '../src/model/effects.ts';
import type { EntryState } from '../src/model/entryState.ts';
import { createEntryState } from '../src/model/entryState.ts';
import type { TaskRow } from '../src/model/task.ts';
import { encodeMessage } from '../src/protocol/common/codec.ts';
import { MemoryStore } from '../src/standins/memoryStore.ts';
import { ShardOwnershipSystem } from '../src/systems/shardOwnership/shardOwnershipSystem.ts';
import {
  hasPendingChange,
  queueTaskChange,
  queueTaskRemoval,
} from '../src/systems/ledger/ledgerChanges.ts';
import { LedgerSystem } from '../src/systems/ledger/ledgerSystem.ts';
import type { BenchReport, BenchRow } from './report.ts';
import { createBenchRow } from './report.ts';

const SHARD = 'kr-south';
const SIZES = [1_000, 8_000, 30_600];
const STARTS_PER_SECOND = 160;
const MEASURED_SECONDS = 20;
const STEP_MS = 10;
const STORE_WRITES_PER_SECOND = 300;
const MAX_VALUE_BYTES = 1_000_000;

interface LedgerFigures {
  readonly changes: number;
  readonly writes: number;
  readonly reads: number;
  readonly bytes: number;
  readonly largestBytes: number;
  /** Encoded size of the changed rows alone. */
  readonly rowBytes: number;
  readonly processorMs: number;
  /** Time to encode one write of one row. */
  readonly encodeMicros: number;
  readonly parts: number;
  readonly recoveryMs: number;
}

/** One owner with a store on a manual clock; counts what the store would see. */
class LedgerBench {
  private readonly clock = ManualClock.create(1_000);
  private readonly store = MemoryStore.create(this.clock);
  private readonly random: SeededRandom;
  private replies: EntryArrival[] = [];
  private entry: { state: EntryState; loop: Loop<EntryArrival, EntryEffect, EntryState> };
  private writes = 0;
  private reads = 0;
  private bytes = 0;
  private largestBytes = 0;
  private nextId = 0;
  private readonly queued: string[] = [];
  private readonly assigned: string[] = [];
  private readonly finished: string[] = [];
  /** Finished rows that stay, so that removals are part of the measurement. */
  private readonly keptFinished = 100;

  constructor(seed: number) {
    this.random = SeededRandom.create(seed);
    this.entry = this.createEntry('entry-0');
  }

  measure(size: number): LedgerFigures {
    this.waitHolding();
    this.load(size);
    this.reset();
    const startMs = performance.now();
    let changes = 0;
    let rowBytes = 0;
    for (let stepMs = 0; stepMs < MEASURED_SECONDS * 1_000; stepMs += STEP_MS) {
      const starts = Math.round((STARTS_PER_SECOND * (stepMs + STEP_MS)) / 1_000);
      const before = Math.round((STARTS_PER_SECOND * stepMs) / 1_000);
      for (let index = before; index < starts; index += 1) {
        for (const task of this.queueLife()) {
          rowBytes += changes % 10 === 0 ? encodeMessage(task).byteLength * 10 : 0;
          changes += 1;
        }
      }
      this.step();
    }
    const processorMs = performance.now() - startMs;
    const { writes, reads, bytes, largestBytes } = this;
    const parts = this.entry.state.ledgers.get(SHARD)?.parts.length ?? 0;
    const recoveryMs = this.measureRecovery();
    return {
      changes,
      writes,
      reads,
      bytes,
      largestBytes,
      rowBytes,
      processorMs,
      encodeMicros: this.measureEncoding(),
      parts,
      recoveryMs,
    };
  }

  private measureEncoding(): number {
    const rounds = 5_000;
    const value = this.createTask('assigned');
    const startMs = performance.now();
    for (let round = 0; round < rounds; round += 1)
      encodeMessage({ op: 'write', key: value.id, expectedVersion: round, value });
    return ((performance.now() - startMs) * 1_000) / rounds;
  }

  /** Time that a new owner computes while it reads the ledger; store and link times are not included. */
  private measureRecovery(): number {
    const { ledgers } = this.entry.state;
    while (ledgers.get(SHARD)?.append !== undefined || this.entry.state.pendingChanges.size > 0)
      this.step();
    const expected = this.entry.state.tasks.size;
    this.entry = this.createEntry('entry-1');
    this.clock.advance(10_000);
    const startMs = performance.now();
    this.waitHolding();
    const recoveryMs = performance.now() - startMs;
    const found = this.entry.state.tasks.size;
    if (found !== expected) throw new Error(`recovered ${found} of ${expected} tasks`);
    return recoveryMs;
  }

  private createEntry(id: string): LedgerBench['entry'] {
    const info = { id, region: SHARD, zone: 'busan-a', address: `10.0.0.1:${id}` };
    const state = createEntryState(info, 'boot');
    state.self.phase = 'serving';
    const pool = { name: 'batch', region: SHARD, zones: ['busan-a'], workClass: 'batch' as const };
    state.configuration.current = {
      revision: 1,
      token: '',
      routes: [],
      pools: [{ ...pool, services: [], quotas: [], spread: 'none', maxWorkerShare: 1 }],
      zonesOut: [],
    };
    const loop = Loop.create<EntryArrival, EntryEffect, EntryState>({
      state,
      systems: [ShardOwnershipSystem.create(), LedgerSystem.create()],
      clock: this.clock,
      random: this.random,
      handleEffect: (effect) => {
        if (effect.kind === 'callStore') this.callStore(effect);
      },
    });
    return { state, loop };
  }

  private callStore({ call, callId }: Extract<EntryEffect, { kind: 'callStore' }>): void {
    const size = encodeMessage(call).byteLength;
    this.bytes += size;
    this.largestBytes = Math.max(this.largestBytes, size);
    if (call.op === 'read' || call.op === 'list') this.reads += 1;
    else this.writes += 1;
    this.replies.push({ kind: 'storeReply', callId, reply: this.store.handle(call) });
  }

  private step(): void {
    this.clock.advance(STEP_MS);
    const replies = this.replies;
    this.replies = [];
    for (const reply of replies) this.entry.loop.receive(reply);
    this.entry.loop.runTick();
  }

  private waitHolding(): void {
    while (this.entry.state.duties.get(SHARD)?.phase !== 'holding') this.step();
  }

  private load(size: number): void {
    for (let index = 0; index < size; index += 1) {
      const task = this.createTask('assigned');
      this.assigned.push(task.id);
      this.queue(task);
      if (index % 500 === 499) for (let turn = 0; turn < 30; turn += 1) this.step();
    }
    const { state } = this.entry;
    while (state.tasks.size < size) this.step();
    for (let turn = 0; turn < 200; turn += 1) this.step();
  }

  private reset(): void {
    this.writes = 0;
    this.reads = 0;
    this.bytes = 0;
    this.largestBytes = 0;
  }

  /** What one start writes: a new row, an assignment, the end of an older run and an expired row. */
  private queueLife(): TaskRow[] {
    const { assigned, finished, queued } = this;
    const task = this.createTask('queued');
    this.queue(task);
    const place = { workerId: 'worker-1', zone: 'busan-a' };
    const changed = [
      task,
      this.moveFirst(queued, assigned, { phase: 'assigned', incarnation: 1, ...place }),
      this.moveFirst(assigned, finished, { phase: 'finished' }),
    ];
    queued.push(task.id);
    const expired = finished.length > this.keptFinished ? finished.shift() : undefined;
    if (expired !== undefined) queueTaskRemoval(this.entry.state, SHARD, expired, this.clock.now);
    return changed.filter((row) => row !== undefined);
  }

  private moveFirst(from: string[], to: string[], patch: Partial<TaskRow>): TaskRow | undefined {
    const task = this.entry.state.tasks.get(from[0] ?? '');
    if (task === undefined || hasPendingChange(this.entry.state, task.id)) return undefined;
    from.shift();
    to.push(task.id);
    const next = { ...task, ...patch };
    this.queue(next);
    return next;
  }

  private queue(task: TaskRow): void {
    queueTaskChange(this.entry.state, SHARD, task, this.clock.now, false);
  }

  private createTask(phase: 'queued' | 'assigned'): TaskRow {
    this.nextId += 1;
    const place = { workerId: `worker-${this.nextId % 1_800}`, zone: 'busan-a' };
    return {
      id: `${SHARD}:${this.random.takeId()}`,
      pool: 'batch',
      team: 'guides',
      taskKind: 'render',
      workClass: 'ordinary',
      demand: { cores: 2, memoryMb: 4_096, accelerators: 0 },
      command: ['render', '--part', `${this.nextId}`],
      expectedSeconds: 600,
      value: 1,
      phase,
      incarnation: phase === 'assigned' ? 1 : 0,
      ...(phase === 'assigned' ? place : {}),
      failedWorkers: [],
      sequence: this.nextId,
    };
  }
}

function buildRows(size: number, figures: LedgerFigures): BenchRow[] {
  const label = `${size} tasks`;
  const perSecond = (value: number): number => value / MEASURED_SECONDS;
  const writes = perSecond(figures.writes);
  return [
    createBenchRow(
      `store writes/s, ${label}`,
      perSecond(figures.changes),
      writes,
      `at most ${STORE_WRITES_PER_SECOND} writes/s`,
      writes <= STORE_WRITES_PER_SECOND,
    ),
    createBenchRow(`store reads/s, ${label}`, 1, perSecond(figures.reads)),
    createBenchRow(
      `bytes to the store/s, ${label}`,
      perSecond(figures.rowBytes),
      perSecond(figures.bytes),
    ),
    createBenchRow(
      `largest value in bytes, ${label}`,
      (figures.rowBytes / figures.changes) * size,
      figures.largestBytes,
      `at most ${MAX_VALUE_BYTES} bytes`,
      figures.largestBytes <= MAX_VALUE_BYTES,
    ),
    createBenchRow(
      `processor time per change in microseconds, ${label}`,
      figures.encodeMicros,
      (figures.processorMs * 1_000) / figures.changes,
    ),
  ];
}

/** Cost of the ledger in store calls, bytes and processor time at three sizes and 160 starts a second. */
export function runLedgerBench(seed: number): BenchReport {
  const rows: BenchRow[] = [];
  const notes = [
    'baseline: one store key per task (writes, bytes, encoding alone), one value per shard (largest value)',
    'three new rows and one removal per start; processor time includes the encoding of the calls',
  ];
  for (const size of SIZES) {
    const figures = new LedgerBench(seed).measure(size);
    rows.push(...buildRows(size, figures));
    notes.push(
      `${size} tasks: ${figures.parts} parts, ${figures.changes} changes, recovery computes ${figures.recoveryMs.toFixed(0)} ms`,
    );
  }
  return { name: 'ledger', seed, rows, notes };
}
