import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { TransferRow } from '../../model/scheduler/fleet.ts';
import { hasInstanceList } from '../../model/scheduler/fleet.ts';
import type { CommandRejection, InstanceReply } from '../../model/scheduler/instanceCall.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import {
  computeCommandsAllowedFrom,
  getCommandAuthority,
  LATE_COMMAND_MS,
  listInstanceReplies,
  COMMAND_TIMEOUT_MS,
  sendInstanceCall,
} from './fleetCalls.ts';
import { countInstanceRuns, drainInstance } from './instanceDrain.ts';
import { logEvent } from './storeCalls.ts';
import { loadTransfers, receiveTransferWrites, writeTransfer } from './transferStore.ts';

const MOVE_PURPOSE = 'move';
const RETRY_DELAY_MS = 300;
/** Delay before an instance whose move was rejected can be chosen again. */
const REJECTION_BACKOFF_MS = 30_000;
const CHECK_INTERVAL_MS = 100;

/**
 * Executes the transfers of instances between pools: stores each on the condition that the owner
 * key is unchanged, then sends the move with the owner's fence and repeats it until it is answered.
 * Reads replies of the store and of the instance service; writes `fleet.transfers`. Runs after the
 * pool system.
 */
export class TransferSystem extends System<SchedulerState> {
  override readonly name = 'transfer';

  private constructor() {
    super();
  }

  static create(): TransferSystem {
    return new TransferSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { fleet, operator } = state;
    if (state.ownership.role !== 'owner') return;
    const hasSparePool = operator.configuration?.pools.some(({ isSpare }) => isSpare) === true;
    if (!hasSparePool && fleet.transfers.size === 0) return;
    loadTransfers(state, tick.now);
    receiveTransferWrites(state, tick.now);
    this.receiveMoveReplies(state, tick.now);
    let hasOpenTransfer = !fleet.transferLoad.isDone;
    for (const { id } of fleet.transfers.list()) {
      const row = fleet.transfers.get(id);
      if (row === undefined) continue;
      writeTransfer(state, row, tick.now);
      if (row.phase === 'ordered') this.sendMove(state, row, tick);
      if (row.phase !== 'settled' || !row.isStored) hasOpenTransfer = true;
    }
    if (hasOpenTransfer) tick.wakeAt(tick.now + CHECK_INTERVAL_MS);
  }

  private sendMove(state: SchedulerState, row: TransferRow, tick: Tick): void {
    if (row.callId !== '' || tick.now < row.retryAt) return;
    if (row.direction === 'home') {
      if (!hasInstanceList(state.fleet)) return;
      // A return is not urgent: tasks run to their end, and long-running ones move to other
      // capacity.
      drainInstance(state, row.id, { isStopDue: false, isUrgent: false, now: tick.now });
      if (countInstanceRuns(state, row.id) > 0) return;
    }
    const ordersFrom = computeCommandsAllowedFrom(state, tick.now);
    if (tick.now < ordersFrom) {
      tick.wakeAt(ordersFrom);
      return;
    }
    const pool = row.direction === 'out' ? row.pool : row.home;
    const authority = getCommandAuthority(state);
    const callId = sendInstanceCall(
      state,
      MOVE_PURPOSE,
      { op: 'move', instanceId: row.id, pool, authority },
      COMMAND_TIMEOUT_MS,
    );
    state.fleet.transfers.update(row.id, { callId });
  }

  private receiveMoveReplies(state: SchedulerState, now: number): void {
    for (const { callId, reply } of listInstanceReplies(state, MOVE_PURPOSE))
      for (const row of state.fleet.transfers.list()) {
        if (row.callId !== callId) continue;
        state.fleet.transfers.update(row.id, { callId: '' });
        const outcome = reply.kind === 'rejected' ? reply.reason : reply.kind;
        state.counters.add('instance_orders', { op: 'move', outcome });
        this.applyReply(state, row, reply, now);
      }
  }

  private applyReply(
    state: SchedulerState,
    row: TransferRow,
    reply: InstanceReply,
    now: number,
  ): void {
    const { transfers } = state.fleet;
    if (reply.kind === 'done') {
      const isReturn = row.direction === 'home';
      transfers.update(row.id, {
        phase: isReturn ? 'dropped' : 'settled',
        isStored: false,
        confirmedAt: now,
      });
      logEvent(state, 'info', 'instance_moved', {
        instance: row.id,
        pool: isReturn ? row.home : row.pool,
        fence: state.ownership.epoch,
      });
    } else if (reply.kind === 'rejected') {
      this.applyRejection(state, row, reply.reason, now);
    } else {
      const isUnanswered = reply.kind === 'unavailable';
      transfers.update(row.id, {
        unansweredAt: isUnanswered ? now : row.unansweredAt,
        retryAt: now + RETRY_DELAY_MS,
      });
      if (isUnanswered)
        logEvent(state, 'warn', 'instance_move_unanswered', {
          instance: row.id,
          message: reply.message,
        });
    }
  }

  /**
   * Ends a rejected transfer, or retries it while an earlier unanswered command may still take
   * effect.
   */
  private applyRejection(
    state: SchedulerState,
    row: TransferRow,
    reason: CommandRejection,
    now: number,
  ): void {
    const { fleet } = state;
    logEvent(state, 'warn', 'instance_move_rejected', {
      instance: row.id,
      heading: row.direction,
      pool: row.direction === 'out' ? row.pool : row.home,
      reason,
      fence: state.ownership.epoch,
    });
    if (now - row.unansweredAt < LATE_COMMAND_MS) {
      fleet.transfers.update(row.id, { retryAt: now + RETRY_DELAY_MS });
      return;
    }
    fleet.rejectedUntil.set(row.id, now + REJECTION_BACKOFF_MS);
    // A removed instance is not returned; any other one is still in the pool that uses it.
    const isStillInUse = row.direction === 'home' && reason !== 'unknown';
    fleet.transfers.update(row.id, {
      direction: 'out',
      phase: isStillInUse ? 'settled' : 'dropped',
      isStored: false,
    });
  }
}
