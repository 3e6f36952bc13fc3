import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { RunRow } from '../../model/scheduler/rows.ts';
import { PACE_UNKNOWN } from '../../model/scheduler/runTables.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { FULL_PACE_PERCENT, sendPaceCommand } from './paceCommands.ts';

/**
 * Pace of a run beside serving tasks until their slack at this pace is known. The run may have been
 * halted or at full pace; half is equally far from both.
 */
const RESET_PERCENT = 50;

/**
 * Sets the pace of best-effort runs that an earlier owner started. Workers do not list the pace, so
 * this owner assumes the full pace and a throttled run would stay slow. Reads `runs`; writes their
 * pace. Runs after the reports and before pacing.
 */
export class PaceResetSystem extends System<SchedulerState> {
  override readonly name = 'paceReset';

  private constructor() {
    super();
  }

  static create(): PaceResetSystem {
    return new PaceResetSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    for (const run of state.runsWithUnknownPace.list(PACE_UNKNOWN)) {
      const percent = this.hasServingTask(state, run) ? RESET_PERCENT : FULL_PACE_PERCENT;
      sendPaceCommand(state, run, percent, tick.now, {
        reason: 'an earlier owner may have throttled it',
      });
    }
  }

  private hasServingTask(state: SchedulerState, { workerKey }: RunRow): boolean {
    for (const { step } of state.runsByWorker.values(workerKey)) if (step.targetMs > 0) return true;
    return false;
  }
}
