import type { LogEffect } from '../../model/effects.ts';
import type { AgentMessage } from '../../model/scheduler/linkMessages.ts';
import type { RunnerCall } from '../../model/scheduler/runnerCall.ts';
import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import { isWorkerConfirmed } from '../../model/scheduler/runnerAgentState.ts';

/** Unit of an incarnation's start time in a fence, ms; incarnations of one worker start further apart. */
const FENCE_START_UNIT_MS = 100;
/** Number of distinct start times in a fence: 27 years; 20 of a number's 53 bits remain for the epoch. */
const FENCE_START_RANGE = 2 ** 33;

/**
 * Computes the fence of calls to the present worker from the owner's epoch and the start time of the
 * addressed incarnation. A worker that restarts under its id has received no fence, so it would execute
 * a delayed call to its previous incarnation; after the first call to the new incarnation it rejects
 * such calls.
 */
export function computeFence(state: RunnerAgentState): number {
  const { owner, worker, confirmedWorker } = state;
  const addressed = isProbing(state) ? confirmedWorker : worker;
  const startUnits = Math.floor((addressed?.bornMs ?? 0) / FENCE_START_UNIT_MS) % FENCE_START_RANGE;
  return owner.epoch * FENCE_START_RANGE + startUnits;
}

/**
 * Whether a heartbeat names another incarnation of a known worker and no poll has confirmed it. It may
 * be false, and its fence would shut out the calls to the true incarnation; the fence of the known one
 * is accepted by both, and the lists tell which of them answers.
 */
export function isProbing(state: RunnerAgentState): boolean {
  return !isWorkerConfirmed(state) && state.confirmedWorker?.id === state.worker?.id;
}

/** Queues a call to the present worker and returns its id; empty without a worker. */
export function sendRunnerCall(
  state: RunnerAgentState,
  call: RunnerCall,
  timeoutMs: number,
): string {
  const { worker } = state;
  if (worker === undefined) return '';
  const callId = `${call.op}#${state.nextCall}`;
  state.nextCall += 1;
  state.outbox.append({
    kind: 'callRunner',
    callId,
    address: worker.address,
    workerId: worker.id,
    call,
    timeoutMs,
  });
  state.counters.add('worker_calls', { op: call.op });
  return callId;
}

/** Requests a poll that does not wait for an end, and returns the poll's number. */
export function requestPoll({ poll }: RunnerAgentState): number {
  poll.isUrgent = true;
  return poll.lastSent + 1;
}

/** Clears the state of an incarnation of the worker: commands, lease, acknowledged ends and polls. */
export function resetIncarnation(state: RunnerAgentState, now: number): void {
  state.incarnationSince = now;
  state.commands.clear();
  state.workerExit = 'none';
  state.lease.workerStartedMs = 0;
  state.lease.untilMs = 0;
  state.lease.acknowledgedEnd = 0;
  state.poll.callId = '';
  state.poll.epoch = 0;
  state.poll.lastListedEnd = 0;
  state.poll.nextAt = now;
  state.owner.reportAt = now;
}

/** Closes the link to the owner and drops its commands; the owner reopens the link and repeats them. */
export function resetOwnerLink(state: RunnerAgentState, now: number): void {
  const { owner, poll } = state;
  if (owner.linkId !== '')
    state.outbox.append({ kind: 'closeOwner', linkId: owner.linkId, isSilent: true });
  owner.linkId = '';
  state.commands.clear();
  poll.callId = '';
  poll.nextAt = now;
}

/** Sends a message to the owner; without a link it is dropped, because the owner repeats its commands. */
export function sendOwner(state: RunnerAgentState, message: AgentMessage): void {
  if (state.owner.linkId === '') return;
  state.outbox.append({ kind: 'sendOwner', linkId: state.owner.linkId, message });
}

export function logAgentEvent(
  state: RunnerAgentState,
  level: LogEffect['level'],
  event: string,
  fields: LogEffect['fields'],
): void {
  state.outbox.append({ kind: 'log', level, event, fields });
}
