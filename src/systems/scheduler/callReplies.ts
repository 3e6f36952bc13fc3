import { parseValue } from '../../base/common/parse.ts';
import type { JobPhase } from '../../model/scheduler/jobRecord.ts';
import {
  isFinalPhase,
  jobProgressSchema,
  STORE_KEYS,
  submittedJobSchema,
} from '../../model/scheduler/jobRecord.ts';
import type { EntryMessage } from '../../model/scheduler/linkMessages.ts';
import type { CallRow, SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreEntry, StoreReply } from '../../model/store.ts';
import { answerCall, refuseCall } from './callAnswers.ts';
import { forwardCall } from './callForwarding.ts';
import { buildSubmittedJob, TOMBSTONE_TTL_MS } from './nextStoreCall.ts';
import { logEvent, recordDuration } from './storeCalls.ts';
import { STORE_RETRY_AFTER_MS } from './storeHealth.ts';

const RETRY_DELAY_MS = 80;
/**
 * Failed attempts after which the caller is asked to retry later. A single refusal by the store
 * often lasts only milliseconds.
 */
const MAX_FAILED_ATTEMPTS = 3;

/** Applies the reply to a store call made for a caller. */
export function receiveCallReply(
  state: SchedulerState,
  call: CallRow,
  purpose: string,
  reply: StoreReply,
  now: number,
): void {
  if (reply.kind === 'refused' || reply.kind === 'unavailable') {
    retryCall(state, call, purpose, reply.kind === 'unavailable', now);
  } else if (purpose === 'submit') {
    acceptSubmission(state, call, reply, now);
  } else if (purpose === 'cancel') {
    acceptCancellation(state, call, reply);
  } else if (purpose === 'barLease' || purpose === 'bar') {
    applyTombstoneReply(state, call, reply);
  } else {
    applyReadReply(state, call, reply.kind === 'mismatch' ? reply.entries : []);
  }
}

function retryCall(
  state: SchedulerState,
  call: CallRow,
  purpose: string,
  isOutcomeUnknown: boolean,
  now: number,
): void {
  const hasUnconfirmedWrite =
    call.hasUnconfirmedWrite || (isOutcomeUnknown && purpose === 'submit');
  if (forwardCall(state, { ...call, hasUnconfirmedWrite }, now)) return;
  if (call.attempts >= MAX_FAILED_ATTEMPTS && !hasUnconfirmedWrite) {
    const status = call.call.kind === 'read' ? state.statuses.get(call.jobId) : undefined;
    if (status === undefined)
      refuseCall(
        state,
        call.id,
        call.jobId,
        'store_unavailable',
        'the store is unavailable',
        STORE_RETRY_AFTER_MS,
      );
    else answerCall(state, call.id, { kind: 'phase', phase: status.phase });
    return;
  }
  state.calls.update(call.id, {
    hasUnconfirmedWrite,
    isAwaitingReply: false,
    retryAt: now + RETRY_DELAY_MS * call.attempts,
  });
}

function acceptSubmission(
  state: SchedulerState,
  call: CallRow,
  reply: StoreReply,
  now: number,
): void {
  if (call.call.kind !== 'submit') return;
  const { jobId } = call;
  if (reply.kind === 'mismatch' && reply.entries[0]?.version === 0) {
    // An earlier attempt without an answer may still be stored once the tombstone expires.
    if (call.hasUnconfirmedWrite) {
      state.calls.update(call.id, {
        isAwaitingReply: false,
        retryAt: now + RETRY_DELAY_MS * call.attempts,
      });
      return;
    }
    const message = 'a job with this id was cancelled recently';
    refuseCall(state, call.id, jobId, 'job_cancelled', message, TOMBSTONE_TTL_MS);
    return;
  }
  answerCall(state, call.id, { kind: 'accepted' });
  if (!state.statuses.has(jobId))
    state.statuses.set({ id: jobId, queue: call.queue, phase: 'pending' });
  logEvent(state, 'info', 'job_accepted', {
    job: jobId,
    queue: call.queue,
    tookMs: Math.round(now - call.startedAt),
    repeated: reply.kind === 'mismatch',
    configuration: state.operator.configuration?.version ?? 0,
  });
  recordDuration(state, 'job_submit_duration_ms', now - call.startedAt);
  if (reply.kind === 'written') {
    const job = buildSubmittedJob(state, call, call.call.spec);
    sendEntryMessage(state, { kind: 'jobStored', id: jobId, version: reply.version, job });
  } else if (reply.kind === 'mismatch') {
    const [entry] = reply.entries;
    const job = parseValue(submittedJobSchema, entry?.value).toMaybe().extract();
    if (job !== undefined && entry !== undefined)
      sendEntryMessage(state, { kind: 'jobStored', id: jobId, version: entry.version, job });
  }
}

function acceptCancellation(state: SchedulerState, call: CallRow, reply: StoreReply): void {
  const { jobId } = call;
  answerCall(state, call.id, { kind: 'cancelled' });
  const status = state.statuses.get(jobId);
  if (status !== undefined && !isFinalPhase(status.phase))
    state.statuses.set({ ...status, phase: 'cancelled' });
  logEvent(state, 'info', 'job_cancelled', { job: jobId, repeated: reply.kind === 'mismatch' });
  sendEntryMessage(state, { kind: 'cancelStored', id: jobId, version: 0 });
}

/** Answers a read from the stored records of the job; a cancellation continues with its write. */
function applyReadReply(
  state: SchedulerState,
  call: CallRow,
  entries: readonly StoreEntry[],
): void {
  const { jobId } = call;
  const findStored = (key: string): StoreEntry | undefined =>
    entries.find((entry) => entry.key === key && entry.version !== 0);
  const job = findStored(STORE_KEYS.job(jobId));
  if (job === undefined) {
    if (call.call.kind === 'cancel') advanceCall(state, call, { barLeaseId: '' });
    else answerUnknown(state, call);
    return;
  }
  const isCancelled = findStored(STORE_KEYS.cancel(jobId)) !== undefined;
  const progress = parseValue(jobProgressSchema, findStored(STORE_KEYS.progress(jobId))?.value)
    .toMaybe()
    .extract();
  const phase: JobPhase = progress?.phase ?? 'pending';
  if (call.call.kind === 'read') {
    const visiblePhase = isCancelled && !isFinalPhase(phase) ? 'cancelled' : phase;
    answerCall(state, call.id, { kind: 'phase', phase: visiblePhase });
  } else if (isCancelled || isFinalPhase(phase)) {
    answerCall(state, call.id, { kind: 'cancelled' });
  } else {
    advanceCall(state, call, { jobVersion: job.version });
  }
}

/**
 * Continues the cancellation of a job that is not stored. A tombstone keeps an unanswered
 * submission from storing the job later.
 */
function applyTombstoneReply(state: SchedulerState, call: CallRow, reply: StoreReply): void {
  const [job] = reply.kind === 'mismatch' ? reply.entries : [];
  if (reply.kind === 'lease') advanceCall(state, call, { barLeaseId: reply.leaseId });
  else if (reply.kind === 'leaseLost') advanceCall(state, call, { barLeaseId: '' });
  else if (job === undefined || job.version === 0) answerUnknown(state, call);
  else advanceCall(state, call, { jobVersion: job.version });
}

function answerUnknown(state: SchedulerState, call: CallRow): void {
  logEvent(state, 'info', 'job_unknown', { job: call.jobId, call: call.call.kind });
  answerCall(state, call.id, { kind: 'gone' });
}

/** Schedules the next store call of a caller's call immediately. */
function advanceCall(
  state: SchedulerState,
  call: CallRow,
  changes: Partial<Pick<CallRow, 'jobVersion' | 'barLeaseId'>>,
): void {
  state.calls.update(call.id, {
    ...changes,
    isAwaitingReply: false,
    retryAt: Number.NEGATIVE_INFINITY,
  });
}

/** Reports a stored record to the owner, which reads it from the store if the message is lost. */
function sendEntryMessage(state: SchedulerState, message: EntryMessage): void {
  if (state.ownership.role === 'owner') state.entryMessages.push(message);
  else if (state.ownership.ownerLink === 'open')
    state.outbox.append({ kind: 'hintOwner', message });
}
