import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { ClaimRow, MitigationRow } from '../../model/placement.ts';
import { recordDecision } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';
import type { PlacementPass } from '../placement/placementPass.ts';
import { createPlacementPass, getTaskShard } from '../placement/placementPass.ts';
import { estimateEffect, computeLoadLevel } from './interferenceModel.ts';
import { setThrottle } from './usageSystem.ts';

/** Smoothed slowdown of a protected task at which mitigation starts, and at which it ends. */
export const MITIGATION_START_SLOWDOWN = 1.5;
export const MITIGATION_END_SLOWDOWN = 1.3;
/** Time between two steps for the same task, until its samples show the effect of the first one. */
export const MITIGATION_INTERVAL_MS = 30_000;
const THROTTLE_SHARES = [0.5, 0.25];
/** Limit on the tasks throttled in one step: those with the largest effect. */
const MAX_THROTTLED_PER_STEP = 3;
/** A neighbour is throttled only when its effect is at least this share of the worst one's. */
const MIN_EFFECT_RATIO = 0.5;
const MIN_SAMPLE_COUNT = 3;
const PERIOD_MS = 1_000;
/** Protected tasks checked in one tick; a round over all of them can take several ticks. */
const MAX_CHECKS_PER_TICK = 400;

/**
 * Protects latency-critical tasks from interference: throttles the batch tasks on the same worker
 * that have the largest effect, then evicts the worst one. Placement already avoids interference.
 * Reads `mitigations`, `claims`, `pairEstimates`. Writes `mitigations`, `throttles`,
 * `pendingChanges`.
 * Starts a round once a second, after the usage samples of the tick. Checks protected tasks only, a
 * bounded number per tick.
 */
export class InterferenceMitigationSystem extends System<EntryState> {
  override readonly name = 'steering';

  private constructor() {
    super();
  }

  static create(): InterferenceMitigationSystem {
    return new InterferenceMitigationSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    const { placement } = state;
    if (placement.mitigationQueue.length === 0) {
      if (tick.now < placement.nextMitigationMs) {
        tick.wakeAt(placement.nextMitigationMs);
        return;
      }
      this.startRound(state, tick);
    }
    const pass = createPlacementPass(state, tick);
    for (const id of placement.mitigationQueue.splice(-MAX_CHECKS_PER_TICK).reverse()) {
      const row = placement.mitigations.get(id);
      if (row !== undefined) this.handleTask(pass, row);
    }
    if (placement.mitigationQueue.length > 0) tick.wakeAt(tick.now + 1);
    else if (placement.mitigations.size > 0) tick.wakeAt(placement.nextMitigationMs);
  }

  private startRound(state: EntryState, tick: Tick): void {
    const { placement } = state;
    placement.nextMitigationMs = tick.now + PERIOD_MS;
    placement.mitigationQueue = Array.from(
      placement.mitigations.values(),
      (row) => row.id,
    ).reverse();
    for (const throttle of state.throttles.values()) {
      if (state.tasks.get(throttle.id)?.phase !== 'assigned') state.throttles.remove(throttle.id);
    }
  }

  private handleTask(pass: PlacementPass, row: MitigationRow): void {
    const { state, tick } = pass;
    const task = state.tasks.get(row.id);
    if (task?.phase !== 'assigned' || task.workerId === undefined) {
      state.placement.mitigations.remove(row.id);
      return;
    }
    if (!pass.pools.has(task.pool) || row.sampleCount < MIN_SAMPLE_COUNT) return;
    if (tick.now - row.changedMs < MITIGATION_INTERVAL_MS) return;
    if (row.slowdown >= MITIGATION_START_SLOWDOWN) {
      if (this.applyMitigation(pass, task.taskKind, task.workerId, row))
        state.placement.mitigations.update(row.id, { isActive: true, changedMs: tick.now });
    } else if (row.isActive && row.slowdown <= MITIGATION_END_SLOWDOWN) {
      this.removeThrottles(pass, task.workerId);
      state.placement.mitigations.update(row.id, { isActive: false, changedMs: tick.now });
    }
  }

  /** Throttles the worst neighbours by one step, or evicts the worst one when no step is left. */
  private applyMitigation(
    pass: PlacementPass,
    victimKind: string,
    workerId: string,
    row: MitigationRow,
  ): boolean {
    const ranked = this.listAggressors(pass, victimKind, workerId);
    if (ranked.length === 0) return false;
    const { state, tick } = pass;
    const worst = ranked[0]?.effect ?? 0;
    let throttled = 0;
    for (const { claim, effect } of ranked.slice(0, MAX_THROTTLED_PER_STEP)) {
      const share = state.throttles.get(claim.taskId)?.share ?? 1;
      const next = THROTTLE_SHARES.find((step) => step < share);
      if (next === undefined || effect < worst * MIN_EFFECT_RATIO) continue;
      setThrottle(state, claim.taskId, next, tick.now);
      const reason = `slows ${row.id} (${row.slowdown.toFixed(2)}) by an estimated ${effect.toFixed(2)}`;
      recordDecision(state, tick.now, claim.taskId, `throttle to ${next}`, reason);
      state.counters.add('interference_throttles');
      throttled += 1;
    }
    return throttled > 0 || this.evictWorst(pass, row, ranked[0]?.claim);
  }

  private evictWorst(
    pass: PlacementPass,
    row: MitigationRow,
    claim: ClaimRow | undefined,
  ): boolean {
    const { state, tick } = pass;
    const task = claim === undefined ? undefined : state.tasks.get(claim.taskId);
    if (task === undefined) return false;
    queueTaskChange(
      state,
      getTaskShard(pass, task),
      { ...task, stopReason: 'interference' },
      tick.now,
      false,
    );
    const reason = `throttling was insufficient: ${row.id} has a slowdown of ${row.slowdown.toFixed(2)}`;
    recordDecision(state, tick.now, task.id, 'evict', reason);
    state.counters.add('evictions', { reason: 'interference' });
    return true;
  }

  private removeThrottles(pass: PlacementPass, workerId: string): void {
    const { state, tick } = pass;
    for (const claim of state.placement.claimsByWorker.list(workerId)) {
      if (!state.throttles.has(claim.taskId)) continue;
      setThrottle(state, claim.taskId, 1, tick.now);
      recordDecision(state, tick.now, claim.taskId, 'full speed', 'the service recovered');
    }
  }

  /** Lists the batch tasks on the worker that may be throttled or stopped, by decreasing effect. */
  private listAggressors(
    pass: PlacementPass,
    victimKind: string,
    workerId: string,
  ): { claim: ClaimRow; effect: number }[] {
    const { state } = pass;
    const cores = Math.max(1, state.workers.get(workerId)?.capacity.cores ?? 1);
    const committed = state.placement.commitments.get(workerId)?.demand.cores ?? 0;
    const level = computeLoadLevel(committed / cores);
    return state.placement.claimsByWorker
      .list(workerId)
      .filter(
        (claim) =>
          claim.isCurrent &&
          !claim.isStopping &&
          claim.workClass === 'ordinary' &&
          pass.pools.has(claim.pool) &&
          !hasPendingChange(state, claim.taskId),
      )
      .map((claim) => ({
        claim,
        effect:
          (estimateEffect(state, victimKind, claim.taskKind, level) * claim.demand.cores) / cores,
      }))
      .sort((a, b) => b.effect - a.effect);
  }
}
