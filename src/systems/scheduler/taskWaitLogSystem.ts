import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';
import { explainReadyTask } from './waitReasons.ts';
import { collectCapacities } from './workerCapacities.ts';

const LOG_INTERVAL_MS = 2_000;

/**
 * Logs why ready long-running tasks have no worker. They are promised to run at all times, unlike
 * other tasks, which are expected to queue. Reads `tasks` and what placement reads; writes the
 * time of its next run. Runs after placement.
 */
export class TaskWaitLogSystem extends System<SchedulerState> {
  override readonly name = 'taskWaitLog';

  private constructor() {
    super();
  }

  static create(): TaskWaitLogSystem {
    return new TaskWaitLogSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner' || tick.now < state.timers.taskWaitLogAt) return;
    state.timers.taskWaitLogAt = tick.now + LOG_INTERVAL_MS;
    const waiting = [...state.readyTasksByStep.keys()].flatMap((stepKey) => {
      const task = state.readyTasksByStep.getFirst(stepKey);
      const isLate = task?.step.longRunning === true && tick.now - task.readyAt > LOG_INTERVAL_MS;
      return isLate ? [{ stepKey, task }] : [];
    });
    if (waiting.length === 0) return;
    const capacities = collectCapacities(state, tick.now);
    for (const { stepKey, task } of waiting)
      logEvent(state, 'warn', 'task_waiting', {
        task: task.id,
        tasks: state.readyTasksByStep.count(stepKey),
        waitedMs: Math.round(tick.now - task.readyAt),
        reason: explainReadyTask(state, task, capacities, tick.now),
        epoch: state.ownership.epoch,
      });
  }
}
