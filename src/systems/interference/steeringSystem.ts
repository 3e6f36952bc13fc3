import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { ClaimRow, SteeringRow } from '../../model/placement.ts';
import { recordDecision } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';
import type { PlacementTurn } from '../placement/placementTurn.ts';
import { createPlacementTurn, getShardOf } from '../placement/placementTurn.ts';
import { estimateEffect, computeLoadLevel } from './interferenceModel.ts';
import { setThrottle } from './usageSystem.ts';

/** Smoothed slowdown of a protected task at which measures begin, and at which they end. */
export const ENTER_SLOWDOWN = 1.5;
export const LEAVE_SLOWDOWN = 1.3;
/** Time between two measures for the same task; samples need it to show what the first one did. */
export const DWELL_MS = 30_000;
const THROTTLE_SHARES = [0.5, 0.25];
/** Tasks throttled by one measure: the ones that hurt most. */
const MAX_THROTTLED = 3;
/** Neighbours that harm much less than the worst one keep their speed. */
const MIN_SHARE_OF_WORST = 0.5;
const MIN_SAMPLES = 3;
const PERIOD_MS = 1_000;
/** Protected tasks looked at in one turn; a round over all of them takes several turns. */
const MAX_CHECKS_PER_TURN = 400;

/**
 * Keeps latency-critical tasks fast: throttles the batch tasks beside them that hurt most, then
 * evicts the worst one. Placement comes first and is not done here.
 * Reads `steering`, `claims`, `pairEstimates`. Writes `steering`, `throttles`, `pendingChanges`.
 * Starts a round once a second after the samples are used; looks at protected tasks only, a bounded
 * number each turn.
 */
export class SteeringSystem extends System<EntryState> {
  override readonly name = 'steering';

  private constructor() {
    super();
  }

  static create(): SteeringSystem {
    return new SteeringSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    const { placement } = state;
    if (placement.steeringQueue.length === 0) {
      if (tick.now < placement.steerAtMs) {
        tick.wakeAt(placement.steerAtMs);
        return;
      }
      this.startRound(state, tick);
    }
    const turn = createPlacementTurn(state, tick);
    for (const id of placement.steeringQueue.splice(-MAX_CHECKS_PER_TURN).reverse()) {
      const row = placement.steering.get(id);
      if (row !== undefined) this.handleTask(turn, row);
    }
    if (placement.steeringQueue.length > 0) tick.wakeAt(tick.now + 1);
    else if (placement.steering.size > 0) tick.wakeAt(placement.steerAtMs);
  }

  private startRound(state: EntryState, tick: Tick): void {
    const { placement } = state;
    placement.steerAtMs = tick.now + PERIOD_MS;
    placement.steeringQueue = Array.from(placement.steering.values(), (row) => row.id).reverse();
    for (const throttle of state.throttles.values()) {
      if (state.tasks.get(throttle.id)?.phase !== 'assigned') state.throttles.remove(throttle.id);
    }
  }

  private handleTask(turn: PlacementTurn, row: SteeringRow): void {
    const { state, tick } = turn;
    const task = state.tasks.get(row.id);
    if (task?.phase !== 'assigned' || task.workerId === undefined) {
      state.placement.steering.remove(row.id);
      return;
    }
    if (!turn.pools.has(task.pool) || row.samples < MIN_SAMPLES) return;
    if (tick.now - row.changedMs < DWELL_MS) return;
    if (row.slowdown >= ENTER_SLOWDOWN) {
      if (this.addMeasure(turn, task.taskKind, task.workerId, row))
        state.placement.steering.update(row.id, { isActive: true, changedMs: tick.now });
    } else if (row.isActive && row.slowdown <= LEAVE_SLOWDOWN) {
      this.removeMeasure(turn, task.workerId);
      state.placement.steering.update(row.id, { isActive: false, changedMs: tick.now });
    }
  }

  /** Throttles the worst neighbours one step, or evicts the worst one when all are throttled. */
  private addMeasure(
    turn: PlacementTurn,
    victimKind: string,
    workerId: string,
    row: SteeringRow,
  ): boolean {
    const ranked = this.listAggressors(turn, victimKind, workerId);
    if (ranked.length === 0) return false;
    const { state, tick } = turn;
    const worst = ranked[0]?.effect ?? 0;
    let throttled = 0;
    for (const { claim, effect } of ranked.slice(0, MAX_THROTTLED)) {
      const share = state.throttles.get(claim.taskId)?.share ?? 1;
      const next = THROTTLE_SHARES.find((step) => step < share);
      if (next === undefined || effect < worst * MIN_SHARE_OF_WORST) continue;
      setThrottle(state, claim.taskId, next, tick.now);
      const reason = `slows ${row.id} (${row.slowdown.toFixed(2)}) by an estimated ${effect.toFixed(2)}`;
      recordDecision(state, tick.now, claim.taskId, `throttle to ${next}`, reason);
      state.counters.add('interference_throttles');
      throttled += 1;
    }
    return throttled > 0 || this.evictWorst(turn, row, ranked[0]?.claim);
  }

  private evictWorst(turn: PlacementTurn, row: SteeringRow, claim: ClaimRow | undefined): boolean {
    const { state, tick } = turn;
    const task = claim === undefined ? undefined : state.tasks.get(claim.taskId);
    if (task === undefined) return false;
    queueTaskChange(
      state,
      getShardOf(turn, task),
      { ...task, stopReason: 'interference' },
      tick.now,
      false,
    );
    const reason = `throttling was not enough: ${row.id} is at ${row.slowdown.toFixed(2)}`;
    recordDecision(state, tick.now, task.id, 'evict', reason);
    state.counters.add('evictions', { reason: 'interference' });
    return true;
  }

  private removeMeasure(turn: PlacementTurn, workerId: string): void {
    const { state, tick } = turn;
    for (const claim of state.placement.claimsByWorker.list(workerId)) {
      if (!state.throttles.has(claim.taskId)) continue;
      setThrottle(state, claim.taskId, 1, tick.now);
      recordDecision(state, tick.now, claim.taskId, 'full speed', 'the service recovered');
    }
  }

  /** Batch tasks on the worker that may be slowed or stopped, the most harmful first. */
  private listAggressors(
    turn: PlacementTurn,
    victimKind: string,
    workerId: string,
  ): { claim: ClaimRow; effect: number }[] {
    const { state } = turn;
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
          turn.pools.has(claim.pool) &&
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
