import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { WorkerRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { TOLERATED_FAILURES } from './taskPlacementPolicy.ts';
import { clearBackoff, hasRecovered } from './workerBackoff.ts';

const CHECK_INTERVAL_MS = 500;
/** Time without a failure, after the backoff, from which the next failure is not consecutive. */
const FAILURES_EXPIRE_MS = 10_000;

/**
 * Ends the backoff of workers on which a long-running run shows itself healthy, as the end of such a
 * run never does, and reduces old failures to the tolerated number. Reads `runs`; writes `workers`.
 * Runs after the reports and the ends.
 */
export class WorkerRecoverySystem extends System<SchedulerState> {
  override readonly name = 'workerRecovery';

  private constructor() {
    super();
  }

  static create(): WorkerRecoverySystem {
    return new WorkerRecoverySystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    if (tick.now < state.timers.recoveryCheckAt) {
      tick.wakeAt(state.timers.recoveryCheckAt);
      return;
    }
    state.timers.recoveryCheckAt = tick.now + CHECK_INTERVAL_MS;
    tick.wakeAt(state.timers.recoveryCheckAt);
    for (const worker of state.workers.list())
      if (worker.backoff.failures > 0) this.updateBackoff(state, worker, tick.now);
  }

  private updateBackoff(state: SchedulerState, worker: WorkerRow, now: number): void {
    const { backoff } = worker;
    const proof = state.runsByWorker.list(worker.id).find((run) => hasRecovered(worker, run, now));
    if (proof !== undefined) clearBackoff(state, proof);
    else if (
      backoff.failures > TOLERATED_FAILURES &&
      now - Math.max(backoff.until, backoff.failedAt) > FAILURES_EXPIRE_MS
    )
      state.workers.update(worker.id, { backoff: { ...backoff, failures: TOLERATED_FAILURES } });
  }
}
