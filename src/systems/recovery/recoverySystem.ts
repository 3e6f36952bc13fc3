import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { RunRow } from '../../model/run.ts';
import { findHeldOwnership } from '../shardOwnership/shards.ts';
import { canRenewLeases } from '../leases/ownerAnswer.ts';
import { queueStoppedTask } from '../leases/runOutcomes.ts';

const SCAN_PERIOD_MS = 250;
const SCAN_CALL = 'recovery.scan';

/**
 * Requeues the tasks whose lease has expired on the owner's clock.
 * Reads `runs`, `tasks`, `duties`. Writes `pendingChanges`, `runs`.
 * Runs four times a second, after the lease system, because a renewal in the same tick prevails.
 */
export class RecoverySystem extends System<EntryState> {
  override readonly name = 'recovery';

  private constructor() {
    super();
  }

  static create(): RecoverySystem {
    return new RecoverySystem();
  }

  override run(state: EntryState, tick: Tick): void {
    if (state.runs.size === 0) return;
    const lastMs = state.calls.get(SCAN_CALL)?.sentMs;
    if (lastMs !== undefined && tick.now - lastMs < SCAN_PERIOD_MS) {
      tick.wakeAt(lastMs + SCAN_PERIOD_MS);
      return;
    }
    const call = { system: this.name, purpose: 'scan', subject: '', sentMs: tick.now };
    state.calls.set({ ...call, id: SCAN_CALL });
    tick.wakeAt(tick.now + SCAN_PERIOD_MS);
    for (const run of state.runs.list()) {
      if (run.leaseUntilMs <= tick.now) this.handleExpired(state, tick, run);
    }
  }

  private handleExpired(state: EntryState, tick: Tick, run: RunRow): void {
    const task = state.tasks.get(run.taskId);
    if (task?.phase !== 'assigned' || task.incarnation !== run.incarnation) {
      // The run stays in the worker's committed demand until the worker stops reporting it.
      if (!state.workers.has(run.workerId)) state.runs.remove(run.id);
      return;
    }
    const ownership = findHeldOwnership(state, state.ledgerTasks.get(task.id)?.shard);
    if (ownership === undefined || !canRenewLeases(state, ownership, tick.now)) return;
    queueStoppedTask(state, ownership.id, task, run.checkpoint, tick.now, 'lease-expired');
  }
}
