import type { SchedulerArrival } from '../../model/scheduler/schedulerMessages.ts';
import type { InstanceCall, CommandAuthority } from '../../model/scheduler/instanceCall.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

type InstanceReplyArrival = Extract<SchedulerArrival, { kind: 'instanceReply' }>;

/**
 * Maximum age of the store's confirmation of the ownership for sending a command. The owner key
 * outlives it, and a new owner waits longer than the timeout of a command, so commands of two
 * owners never overlap.
 */
const MAX_CONFIRMATION_AGE_FOR_COMMANDS_MS = 700;
/**
 * Commands are answered within milliseconds; the timeout is shorter than the wait of a new owner.
 */
export const COMMAND_TIMEOUT_MS = 2_000;
/** The platform may execute an unanswered command up to 12 s after it was sent. */
export const LATE_COMMAND_MS = 15_000;

/** Queues a call to the instance service and returns the call id that its reply carries. */
export function sendInstanceCall(
  state: SchedulerState,
  purpose: string,
  call: InstanceCall,
  timeoutMs: number,
): string {
  const callId = `${purpose}#${state.nextCall}`;
  state.nextCall += 1;
  state.outbox.append({ kind: 'callInstances', callId, call, timeoutMs });
  state.counters.add('instance_calls', { op: call.op });
  return callId;
}

/** Lists the replies of this tick to the calls of one purpose. */
export function listInstanceReplies(
  state: SchedulerState,
  purpose: string,
): InstanceReplyArrival[] {
  return state.inbox
    .list('instanceReply')
    .filter((arrival) => arrival.callId.startsWith(`${purpose}#`));
}

/**
 * Computes from when this entry may send commands to instances: as the owner that the store
 * confirmed recently, and once no command of the previous owner can take effect. Infinite while the
 * confirmation is outstanding.
 */
export function computeCommandsAllowedFrom(state: SchedulerState, now: number): number {
  const { fleet, ownership, self } = state;
  if (self.phase === 'stopping') return Number.POSITIVE_INFINITY;
  if (now < fleet.commandsAllowedFrom) return fleet.commandsAllowedFrom;
  return now - ownership.confirmedAt <= MAX_CONFIRMATION_AGE_FOR_COMMANDS_MS
    ? now
    : Number.POSITIVE_INFINITY;
}

/**
 * Returns the authority of a command. The owner's epoch is the fencing token: every takeover
 * increases it, and it never has two holders.
 */
export function getCommandAuthority(state: SchedulerState): CommandAuthority {
  return { holder: state.self.id, fence: state.ownership.epoch };
}
