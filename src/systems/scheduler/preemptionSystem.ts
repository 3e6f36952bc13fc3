import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { Queue } from '../../model/scheduler/queueConfiguration.ts';
import type { RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { requestStop } from './jobChanges.ts';
import { logEvent } from './storeCalls.ts';
import type { WorkerRoom } from './taskPlacementPolicy.ts';
import { canHold, takeRoom } from './taskPlacementPolicy.ts';
import { collectRooms } from './workerRooms.ts';

const LOOK_EVERY_MS = 100;
/** Wait of an urgent task before others make room; room often frees by itself within this time. */
const WAIT_MS = 400;
/** Most runs that are stopped for one task; beyond that the work lost outweighs the wait. */
const MAX_STOPS = 3;
/** Share of its work beyond which a run that saves no progress is left to finish. */
const KEEP_FROM_PERCENT = 30;
const PREEMPTED = 'a more urgent task needs the room';

/**
 * Stops runs of less urgent queues for tasks that found no room. Reads ready tasks, rooms and
 * `runs`; requests stops. Runs after placement. Answers bursts of urgent jobs on a full pool. Tasks
 * that last, members of gangs and runs with much unsaved work are never stopped.
 */
export class PreemptionSystem extends System<SchedulerState> {
  override readonly name = 'preemption';

  private constructor() {
    super();
  }

  static create(): PreemptionSystem {
    return new PreemptionSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner' || state.readyTasks.size === 0) return;
    if (tick.now < state.timetable.preemptionAt) {
      tick.wakeAt(state.timetable.preemptionAt);
      return;
    }
    state.timetable.preemptionAt = tick.now + LOOK_EVERY_MS;
    const waiting = this.listWaiting(state, tick.now);
    if (waiting.length === 0) return;
    // What is being stopped already will free room for as many tasks as it was stopped for.
    const isStopping = [...state.runs.values()].some((run) => run.stopReason === PREEMPTED);
    if (isStopping) return;
    const rooms = collectRooms(state, tick.now);
    for (const task of waiting) {
      const queue = findQueue(state, task.jobId);
      if (queue === undefined) continue;
      this.evictFor(state, task, queue, rooms);
    }
  }

  private listWaiting(state: SchedulerState, now: number): TaskRow[] {
    const waiting: TaskRow[] = [];
    for (const taskId of state.readyTasks) {
      const task = state.tasks.get(taskId);
      if (task !== undefined && !task.step.gang && now - task.readyAt >= WAIT_MS)
        waiting.push(task);
    }
    return waiting;
  }

  /** Stops the fewest runs of one worker that let the task in, if there are such. */
  private evictFor(
    state: SchedulerState,
    task: TaskRow,
    queue: Queue,
    rooms: readonly WorkerRoom[],
  ): void {
    let best: { readonly room: WorkerRoom; readonly victims: readonly RunRow[] } | undefined;
    for (const room of rooms) {
      if (room.worker.identity.service !== queue.service) continue;
      const victims = this.findVictims(state, task, queue, room);
      if (victims === undefined) continue;
      if (best === undefined || victims.length < best.victims.length) best = { room, victims };
    }
    if (best === undefined) return;
    for (const run of best.victims) {
      logEvent(state, 'info', 'run_preempted', {
        task: run.taskId,
        run: run.run,
        for: task.id,
        percent: run.percent,
        worker: best.room.worker.identity.id,
      });
      state.counters.add('preemptions');
      requestStop(state, run, PREEMPTED);
      this.releaseRoom(state, best.room, run);
    }
    takeRoom(best.room, task);
  }

  /** Runs to stop on a worker, none when it has room already; undefined when it cannot be made. */
  private findVictims(
    state: SchedulerState,
    task: TaskRow,
    queue: Queue,
    room: WorkerRoom,
  ): readonly RunRow[] | undefined {
    const candidates = state.runsByWorker
      .list(room.worker.id)
      .filter((run) => this.canStop(state, run, queue))
      .sort((left, right) => left.percent - right.percent);
    const victims: RunRow[] = [];
    for (const run of candidates) {
      if (canHold(room, task) || victims.length >= MAX_STOPS) break;
      victims.push(run);
      this.releaseRoom(state, room, run);
    }
    const isEnough = canHold(room, task);
    for (const run of victims) this.releaseRoom(state, room, run, 1);
    return isEnough ? victims : undefined;
  }

  private canStop(state: SchedulerState, run: RunRow, queue: Queue): boolean {
    const { step } = run;
    if (run.phase !== 'running' || run.stopReason !== undefined) return false;
    if (step.longRunning || step.gang) return false;
    if (!step.savesProgress && run.percent >= KEEP_FROM_PERCENT) return false;
    const victimQueue = findQueue(state, run.jobId);
    return victimQueue !== undefined && victimQueue.priority > queue.priority;
  }

  private releaseRoom(
    state: SchedulerState,
    room: WorkerRoom,
    run: RunRow,
    sign: 1 | -1 = -1,
  ): void {
    const task = state.tasks.get(run.taskId);
    if (task !== undefined) takeRoom(room, task, sign);
  }
}

function findQueue(state: SchedulerState, jobId: string): Queue | undefined {
  return state.operator.queues.get(state.jobs.get(jobId)?.job.queue ?? '');
}
