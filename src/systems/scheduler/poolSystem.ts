import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { TransferRow } from '../../model/scheduler/fleet.ts';
import { isTransferPending } from '../../model/scheduler/fleet.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { collectPoolLoads } from './poolLoads.ts';
import type { PoolLoad, PoolMove, PoolPolicy } from './poolPolicy.ts';
import { logEvent } from './storeCalls.ts';

/** Interval of evaluations; shorter than a move, which takes seconds. */
const CHECK_INTERVAL_MS = 500;
/**
 * Wait of a task after which the list is read, so that it is available when an instance is chosen.
 */
const LIST_AFTER_MS = 1_000;

/**
 * Moves instances between spare pools and pools in use. Reads the configuration's pools, ready
 * tasks, workers and the list of instances; writes `fleet.transfers`. Does nothing without a spare
 * pool. Runs before the transfers are sent.
 */
export class PoolSystem extends System<SchedulerState> {
  override readonly name = 'pool';

  private constructor(private readonly policy: PoolPolicy) {
    super();
  }

  static create(policy: PoolPolicy): PoolSystem {
    return new PoolSystem(policy);
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { fleet, operator, ownership } = state;
    if (ownership.role !== 'owner') return;
    const spare = operator.configuration?.pools.find(({ isSpare }) => isSpare);
    if (spare === undefined && fleet.transfers.size === 0) {
      fleet.isListRequested = false;
      return;
    }
    tick.wakeAt(Math.max(fleet.poolCheckAt, tick.now + 1));
    if (tick.now < fleet.poolCheckAt) return;
    fleet.poolCheckAt = tick.now + CHECK_INTERVAL_MS;
    tick.wakeAt(fleet.poolCheckAt);
    const loads = collectPoolLoads(state, tick.now);
    fleet.isListRequested = loads.some((load) => isListNeeded(state, load));
    if (!fleet.transferLoad.isDone) return;
    for (const load of loads) {
      const move = this.policy.choose(load);
      if (move !== undefined) this.startMove(state, load, move);
    }
  }

  private startMove(state: SchedulerState, load: PoolLoad, move: PoolMove): void {
    const { fleet } = state;
    const known = fleet.transfers.get(move.instanceId);
    const home = known?.home ?? fleet.instances.get(move.instanceId)?.pool ?? '';
    if (known === undefined) fleet.transfers.set(createTransfer(move.instanceId, home, load.pool));
    else
      fleet.transfers.update(known.id, { direction: 'home', phase: 'reserved', isStored: false });
    logEvent(state, 'info', 'instance_move_chosen', {
      instance: move.instanceId,
      heading: move.direction,
      home,
      pool: load.pool,
      waitingTasks: load.waitingTasks,
      waitedMs: Math.round(load.waitedMs),
      quietMs: Math.round(load.quietMs),
    });
  }
}

function isListNeeded({ fleet }: SchedulerState, load: PoolLoad): boolean {
  if (load.waitedMs >= LIST_AFTER_MS || load.isGrowing) return true;
  for (const row of fleet.transfers.values()) if (row.pool === load.pool) return true;
  return [...fleet.transfers.values()].some(isTransferPending);
}

function createTransfer(id: string, home: string, pool: string): TransferRow {
  return {
    id,
    home,
    pool,
    direction: 'out',
    phase: 'reserved',
    isStored: false,
    storeVersion: 0,
    storeCallId: '',
    callId: '',
    retryAt: Number.NEGATIVE_INFINITY,
    unansweredAt: Number.NEGATIVE_INFINITY,
    confirmedAt: Number.NEGATIVE_INFINITY,
  };
}
