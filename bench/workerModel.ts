import { ManualClock } from '../src/base/common/clock.ts';
import { SeededRandom } from '../src/base/common/seededRandom.ts';
import type { Tick } from '../src/base/common/system.ts';
import type { PoolConfig } from '../src/model/configuration.ts';
import type { EntryState } from '../src/model/entryState.ts';
import type { UsageSampleRow } from '../src/model/taskTables.ts';
import { createEntryState } from '../src/model/entryState.ts';
import type { RunRow } from '../src/model/run.ts';
import { formatRunId } from '../src/model/run.ts';
import type { TaskRow } from '../src/model/task.ts';
import type { WorkerRow } from '../src/model/worker.ts';
import type { ModelRun, WorkerModelOptions } from './workerModelOptions.ts';
import { applyLedgerChanges, queueTaskChange } from '../src/systems/ledger/ledgerChanges.ts';

export const SHARD = 'region-1';
const START_DELAY_MS = 500;
const CONFIRM_DELAY_MS = 50;
const EXCHANGE_MS = 1_000;
const SAMPLE_PERIOD_MS = 2_000;
const NOISE = 0.08;
/** Share of the service's capacity in use when it runs alone; its latency grows as 1 / (1 - use). */
const SERVICE_USE = 0.4;
const LATENCY_DRAWS = 4;

/** Workers on a manual clock, the part of the owner that starts and stops runs, and the store's confirmations. */
export class WorkerModel {
  readonly clock = ManualClock.create(1_000_000);
  readonly random: SeededRandom;
  readonly state: EntryState;
  /** Work of a task in seconds at full speed: real length, done, and safe in a checkpoint. */
  readonly work = new Map<string, { length: number; done: number; safe: number }>();
  readonly runs = new Map<string, ModelRun>();
  private readonly runsByWorker = new Map<string, Set<ModelRun>>();
  private readonly stopping = new Set<ModelRun>();
  private readonly changedTasks: Set<string>;
  readonly latencies: number[] = [];
  /** Core-seconds of batch work: done in total, and lost again by restarts. */
  doneCores = 0;
  lostCores = 0;
  finished = 0;
  readonly finishedMs = new Map<string, number>();
  /** Faults: workers that are silent, and workers and tasks whose starts fail. */
  readonly lostWorkers = new Set<string>();
  readonly failingWorkers = new Set<string>();
  readonly failingTasks = new Set<string>();
  failedStarts = 0;
  private readonly late: { atMs: number; row: UsageSampleRow }[] = [];
  private nextSample = 1;
  private sequence = 0;

  private constructor(private readonly options: WorkerModelOptions) {
    this.random = SeededRandom.create(options.seed);
    const info = { id: 'entry-1', address: '', region: SHARD, zone: 'a' } as never;
    this.state = createEntryState(info, 'boot');
    this.changedTasks = this.state.tasks.addChangeSet();
    this.setPools(options.pools);
    this.state.duties.set({
      ...{ id: SHARD, phase: 'holding', epoch: 1, ownerId: 'entry-1', ownerAddress: undefined },
      ...{ confirmedMs: this.clock.now, takenMs: this.clock.now - 60_000, inheritedUntilMs: 0 },
    });
    for (const { id, zone, rack, cores, memoryMb } of options.workers) {
      const capacity = { cores, memoryMb, accelerators: 0 };
      const row: WorkerRow = {
        ...{ id, bootId: 'b', region: SHARD, zone, rack, capacity, agentId: id },
        ...{ lastExchangeMs: this.clock.now, leaving: false, failedStarts: 0, setAsideUntilMs: 0 },
      };
      this.state.workers.set(row);
    }
  }

  static create(options: WorkerModelOptions): WorkerModel {
    return new WorkerModel(options);
  }

  setPools(pools: PoolConfig[]): void {
    const { current } = this.state.configuration;
    this.state.configuration.current = { ...current, revision: current.revision + 1, pools };
  }

  setZonesOut(zonesOut: string[]): void {
    const { current } = this.state.configuration;
    this.state.configuration.current = { ...current, revision: current.revision + 1, zonesOut };
  }

  submit(task: Partial<TaskRow> & { id: string; pool: string }, lengthSeconds: number): void {
    this.sequence = Math.max(this.sequence, this.state.placement.lastSequence) + 1;
    this.state.tasks.set({
      ...{ team: 'team', taskKind: 'batch', workClass: 'ordinary', command: [], value: 1 },
      ...{ demand: { cores: 1, memoryMb: 100, accelerators: 0 }, expectedSeconds: lengthSeconds },
      ...{ phase: 'queued', incarnation: 0, failedWorkers: [], sequence: this.sequence },
      ...task,
    });
    this.work.set(task.id, { length: lengthSeconds, done: 0, safe: 0 });
  }

  stopJob(taskId: string): void {
    const task = this.state.tasks.get(taskId);
    if (task === undefined || this.state.pendingChanges.has(taskId)) return;
    if (task.phase === 'queued')
      queueTaskChange(this.state, SHARD, { ...task, phase: 'cancelled' }, this.clock.now, false);
    else if (task.phase === 'assigned')
      queueTaskChange(
        this.state,
        SHARD,
        { ...task, stopReason: 'cancelled' },
        this.clock.now,
        false,
      );
  }

  /** One step of the manual clock. */
  runStep(): void {
    this.clock.advance(this.options.stepMs);
    const tick: Tick = { now: this.clock.now, random: this.random, wakeAt: () => undefined };
    this.applyConfirmations();
    this.updateRuns();
    this.reportWorkers();
    for (const system of this.options.systems) system.run(this.state, tick);
    this.state.outbox.removeAll();
  }

  runFor(durationMs: number, onStep?: () => void): void {
    for (let passed = 0; passed < durationMs; passed += this.options.stepMs) {
      onStep?.();
      this.runStep();
    }
  }

  private applyConfirmations(): void {
    for (const pending of this.state.pendingChanges.list()) {
      if (this.clock.now - pending.queuedMs < CONFIRM_DELAY_MS) continue;
      this.state.pendingChanges.remove(pending.id);
      applyLedgerChanges(this.state, [pending.change]);
    }
  }

  private updateRuns(): void {
    const { now } = this.clock;
    for (const taskId of this.changedTasks) {
      const task = this.state.tasks.get(taskId);
      if (task?.phase !== 'assigned' || task.workerId === undefined) continue;
      const id = formatRunId(task.id, task.incarnation);
      const run = this.runs.get(id) ?? this.startRun(id, task, task.workerId);
      if (task.stopReason !== undefined && run.stopsMs === Infinity) this.stopRun(run, task);
    }
    this.changedTasks.clear();
    for (const run of this.stopping) {
      const task = this.state.tasks.get(run.taskId);
      if (this.lostWorkers.has(run.workerId)) continue;
      if (now >= run.stopsMs && task !== undefined) this.closeRun(run, task);
    }
    if (now % this.options.advanceMs !== 0) return;
    for (const [workerId, runs] of this.runsByWorker) this.runWorker(workerId, runs);
  }

  private startRun(id: string, task: TaskRow, workerId: string): ModelRun {
    const { now } = this.clock;
    const run: ModelRun = {
      ...{ id, taskId: task.id, workerId, stopsMs: Infinity, slowdown: 1 },
      startsMs: now + START_DELAY_MS,
      ...{ nextSampleMs: now + this.random.takeInt(1, SAMPLE_PERIOD_MS), checkpointedMs: now },
    };
    this.runs.set(id, run);
    const beside = this.runsByWorker.get(workerId) ?? new Set();
    this.runsByWorker.set(workerId, beside.add(run));
    const row: RunRow = {
      ...{ id, taskId: task.id, incarnation: task.incarnation, workerId, phase: 'unconfirmed' },
      ...{ checkpoint: undefined, throttle: 1, leaseUntilMs: now + 16_000, sinceMs: now },
    };
    this.state.runs.set(row);
    if (!this.work.has(task.id)) this.work.set(task.id, { length: Infinity, done: 0, safe: 0 });
    return run;
  }

  private stopRun(run: ModelRun, task: TaskRow): void {
    const { now } = this.clock;
    const isPlain = !this.options.hasStopCheckpoint && task.stopReason === 'zone-out';
    let busyUntil = now;
    for (const other of this.stopping) {
      if (other.workerId === run.workerId && !isPlain)
        busyUntil = Math.max(busyUntil, other.stopsMs);
    }
    this.stopping.add(run);
    run.stopsMs = isPlain ? now : busyUntil + this.options.checkpointMs;
  }

  private closeRun(run: ModelRun, task: TaskRow): void {
    const work = this.work.get(task.id);
    if (work !== undefined) {
      if (this.options.hasStopCheckpoint || task.stopReason !== 'zone-out') work.safe = work.done;
      if (task.service === undefined) this.lostCores += (work.done - work.safe) * task.demand.cores;
      work.done = work.safe;
    }
    this.queueEnd(
      run,
      task,
      task.stopReason === 'retired' || task.stopReason === 'cancelled' ? 'cancelled' : 'queued',
    );
  }

  /** Ends all runs of the worker at once; their tasks wait for another start. */
  restartWorker(workerId: string): void {
    for (const run of [...(this.runsByWorker.get(workerId) ?? [])]) {
      const task = this.state.tasks.get(run.taskId);
      if (task?.phase === 'assigned') this.queueEnd(run, task, 'queued');
    }
  }

  private queueEnd(run: ModelRun, task: TaskRow, phase: 'queued' | 'cancelled' | 'finished'): void {
    const next: TaskRow = { ...task, phase };
    delete next.workerId;
    delete next.zone;
    delete next.stopReason;
    if (!queueTaskChange(this.state, SHARD, next, this.clock.now, false)) return;
    this.runs.delete(run.id);
    this.runsByWorker.get(run.workerId)?.delete(run);
    this.stopping.delete(run);
    this.state.runs.remove(run.id);
  }

  private runWorker(workerId: string, runs: ReadonlySet<ModelRun>): void {
    const cores = this.state.workers.get(workerId)?.capacity.cores ?? 1;
    const { now } = this.clock;
    const list: { run: ModelRun; task: TaskRow; share: number }[] = [];
    let load = 0;
    for (const run of runs) {
      const task = this.state.tasks.get(run.taskId);
      if (task === undefined || now < run.startsMs || this.lostWorkers.has(workerId)) continue;
      if (this.handleFailedStart(run, task)) continue;
      if (this.state.runs.get(run.id)?.phase === 'unconfirmed')
        this.state.runs.update(run.id, { phase: 'running' });
      const share = this.state.throttles.get(task.id)?.share ?? 1;
      list.push({ run, task, share });
      load += (task.demand.cores * share) / cores;
    }
    const levelFactor = load < 0.4 ? 0.6 : load < 0.75 ? 1 : 1.4;
    for (const { run, task, share } of list) {
      run.slowdown = 1;
      for (const other of list) {
        if (other.run === run) continue;
        const effect = this.options.computeEffect(task.taskKind, other.task.taskKind, now);
        run.slowdown += (effect * other.task.demand.cores * other.share * levelFactor) / cores;
      }
      this.reportUsage(run, task);
      if (task.service !== undefined) this.recordLatency(run.slowdown);
      else this.runTask(run, task, (this.options.advanceMs * share) / 1_000 / run.slowdown);
    }
  }

  /** Reports a failed start; the owner's health system queues the task again. */
  private handleFailedStart(run: ModelRun, task: TaskRow): boolean {
    const row = this.state.runs.get(run.id);
    if (row?.phase !== 'unconfirmed') return false;
    if (!this.failingWorkers.has(run.workerId) && !this.failingTasks.has(task.id)) return false;
    this.state.runs.update(run.id, { phase: 'failed' });
    this.failedStarts += 1;
    this.runs.delete(run.id);
    this.runsByWorker.get(run.workerId)?.delete(run);
    this.stopping.delete(run);
    return true;
  }

  private runTask(run: ModelRun, task: TaskRow, advance: number): void {
    const work = this.work.get(task.id);
    // A task that is being checkpointed makes no progress.
    if (work === undefined || run.stopsMs !== Infinity) return;
    work.done += advance;
    this.doneCores += advance * task.demand.cores;
    if (this.clock.now - run.checkpointedMs >= this.options.periodicCheckpointMs) {
      run.checkpointedMs = this.clock.now;
      work.safe = work.done;
      this.state.runs.update(run.id, { checkpoint: `${task.id}@${work.done}` });
    }
    if (work.done < work.length || this.state.pendingChanges.has(task.id)) return;
    this.finished += 1;
    this.finishedMs.set(task.id, this.clock.now);
    this.queueEnd(run, task, 'finished');
  }

  /** Response time of a service with exponential service times whose capacity shrinks by the slowdown. */
  private recordLatency(slowdown: number): void {
    const mean = slowdown / (1 - Math.min(0.95, SERVICE_USE * slowdown));
    for (let draw = 0; draw < LATENCY_DRAWS; draw += 1)
      this.latencies.push(this.random.takeExponential(mean));
  }

  private reportUsage(run: ModelRun, task: TaskRow): void {
    const { now } = this.clock;
    if (now < run.nextSampleMs) return;
    run.nextSampleMs += SAMPLE_PERIOD_MS;
    const { incarnation } = task;
    const noise = 1 + NOISE * (this.random.takeUnit() + this.random.takeUnit() - 1) * 2;
    const { cores, memoryMb } = task.demand;
    const row: UsageSampleRow = {
      ...{ id: `${this.nextSample}`, workerId: run.workerId, taskId: task.id, incarnation },
      ...{ takenMs: now, ageMs: 0, cores, memoryMb, slowdown: Math.max(0.9, run.slowdown * noise) },
    };
    this.nextSample += 1;
    this.late.push({ atMs: now + this.random.takeInt(2_000, 8_000), row });
  }

  private reportWorkers(): void {
    const { now } = this.clock;
    for (const sample of this.late.splice(0)) {
      if (sample.atMs <= now) this.state.usageSamples.set(sample.row);
      else this.late.push(sample);
    }
    // Exchanges of the workers are spread evenly over the period.
    let index = 0;
    for (const worker of this.state.workers.list()) {
      index += 1;
      const offsetMs = (now + index * 37) % EXCHANGE_MS;
      if (offsetMs >= this.options.stepMs || this.lostWorkers.has(worker.id)) continue;
      this.state.workers.update(worker.id, { lastExchangeMs: now });
      for (const run of this.runsByWorker.get(worker.id) ?? [])
        this.state.runs.update(run.id, { leaseUntilMs: now + 16_000 });
    }
  }
}
