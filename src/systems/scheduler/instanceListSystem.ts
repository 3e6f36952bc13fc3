import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { clearFleet, isTransferPending } from '../../model/scheduler/fleet.ts';
import type { InstanceReply } from '../../model/scheduler/instanceCall.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { listInstanceReplies, sendInstanceCall } from './fleetCalls.ts';
import { logEvent } from './storeCalls.ts';

const PURPOSE = 'instances';
/** Interval of lists while instances receive commands; an instance is down for seconds. */
const LIST_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 2_000;
const RETRY_INITIAL_MS = 300;
const RETRY_MAX_MS = 4_000;

/**
 * Keeps the list of instances current while instances may receive commands or are down. Reads the
 * pages of the list; writes `fleet.instances`. Clears the fleet's tables when the ownership
 * changes. Runs before the systems that send commands to instances.
 */
export class InstanceListSystem extends System<SchedulerState> {
  override readonly name = 'instanceList';

  private constructor() {
    super();
  }

  static create(): InstanceListSystem {
    return new InstanceListSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { fleet, ownership } = state;
    const epoch = ownership.role === 'owner' ? ownership.epoch : 0;
    if (fleet.epoch !== epoch)
      clearFleet(fleet, epoch, ownership.loadedAt + state.bounds.holderLeaseMs);
    if (epoch === 0) return;
    for (const { callId, reply } of listInstanceReplies(state, PURPOSE))
      if (callId === fleet.list.callId) this.receiveReply(state, reply, tick.now);
    if (!isListNeeded(state)) return;
    if (fleet.list.callId !== '') return;
    if (tick.now < fleet.list.nextAt) tick.wakeAt(fleet.list.nextAt);
    else this.sendCall(state, tick.now);
  }

  private sendCall(state: SchedulerState, now: number): void {
    const { list } = state.fleet;
    if (list.pageToken === '') {
      list.requestedAt = now;
      list.pages.clear();
    }
    list.callId = sendInstanceCall(
      state,
      PURPOSE,
      { op: 'list', pageToken: list.pageToken },
      CALL_TIMEOUT_MS,
    );
  }

  private receiveReply(state: SchedulerState, reply: InstanceReply, now: number): void {
    const { fleet } = state;
    const { list } = fleet;
    list.callId = '';
    if (reply.kind !== 'page') {
      list.failures += 1;
      list.pageToken = '';
      list.nextAt = now + Math.min(RETRY_MAX_MS, RETRY_INITIAL_MS * 2 ** (list.failures - 1));
      if (list.failures === 1)
        logEvent(state, 'warn', 'instance_list_lost', { answer: reply.kind });
      return;
    }
    if (list.failures > 0)
      logEvent(state, 'info', 'instance_list_regained', { failures: list.failures });
    list.failures = 0;
    for (const instance of reply.instances) list.pages.set(instance.id, instance);
    list.pageToken = reply.nextToken;
    if (reply.nextToken !== '') return;
    fleet.instances.clear();
    for (const instance of list.pages.values()) fleet.instances.set(instance);
    list.completeRequestedAt = list.requestedAt;
    list.nextAt = list.requestedAt + LIST_INTERVAL_MS;
  }
}

function isListNeeded({ fleet }: SchedulerState): boolean {
  if (fleet.isListRequested) return true;
  for (const { phase } of fleet.waves.values()) if (phase === 'running') return true;
  for (const { phase } of fleet.maintenance.values()) if (phase === 'begun') return true;
  for (const row of fleet.transfers.values()) if (isTransferPending(row)) return true;
  return false;
}
