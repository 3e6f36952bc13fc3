import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { MitigationRow } from '../../model/placement.ts';
import { recordDecision } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';
import type { PlacementPass } from '../placement/placementPass.ts';
import { createPlacementPass, getTaskShard } from '../placement/placementPass.ts';
import {
  MITIGATION_INTERVAL_MS,
  MITIGATION_START_SLOWDOWN,
} from './interferenceMitigationSystem.ts';

const PERIOD_MS = 1_000;

/**
 * Evicts the largest batch task on the worker of a slow service, regardless of its kind. Baseline
 * for the interference mitigation in benchmarks.
 * Reads `mitigations`, `claims`. Writes `mitigations`, `pendingChanges`.
 * Runs each tick in place of the interference mitigation; checks protected tasks only.
 */
export class LargestTaskEvictionSystem extends System<EntryState> {
  override readonly name = 'blindEviction';

  private constructor() {
    super();
  }

  static create(): LargestTaskEvictionSystem {
    return new LargestTaskEvictionSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    const pass = createPlacementPass(state, tick);
    for (const row of state.placement.mitigations.values()) this.handleTask(pass, row);
    if (state.placement.mitigations.size > 0) tick.wakeAt(tick.now + PERIOD_MS);
  }

  private handleTask(pass: PlacementPass, row: MitigationRow): void {
    const { state, tick } = pass;
    const task = state.tasks.get(row.id);
    if (task?.phase !== 'assigned' || task.workerId === undefined) {
      state.placement.mitigations.remove(row.id);
      return;
    }
    if (
      row.slowdown < MITIGATION_START_SLOWDOWN ||
      tick.now - row.changedMs < MITIGATION_INTERVAL_MS
    )
      return;
    const [largest] = state.placement.claimsByWorker
      .list(task.workerId)
      .filter((claim) => claim.workClass === 'ordinary' && !claim.isStopping)
      .filter((claim) => !hasPendingChange(state, claim.taskId))
      .sort((a, b) => b.demand.cores - a.demand.cores);
    const victim = largest === undefined ? undefined : state.tasks.get(largest.taskId);
    if (victim === undefined) return;
    const next = { ...victim, stopReason: 'interference' as const };
    queueTaskChange(state, getTaskShard(pass, victim), next, tick.now, false);
    state.counters.add('evictions', { reason: 'interference' });
    recordDecision(state, tick.now, victim.id, 'evict', `largest batch task beside slow ${row.id}`);
    state.placement.mitigations.update(row.id, { changedMs: tick.now });
  }
}
