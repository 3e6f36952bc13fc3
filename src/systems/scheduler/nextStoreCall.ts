import type { SubmittedJob } from '../../model/scheduler/jobRecord.ts';
import { STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { JobSpec } from '../../model/scheduler/jobSpec.ts';
import type { CallRow, SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreCall } from '../../model/store.ts';
import { sendStoreCall } from './storeCalls.ts';

/**
 * Lifetime of a tombstone, the stored cancellation of a job that is not stored, ms. It prevents the
 * job's submission: an entry may try to store it until its caller's deadline, usually 3 s, and a
 * write without an answer can take effect up to 6 s later.
 */
export const TOMBSTONE_TTL_MS = 10_000;

/**
 * Sends the store call that a caller's call needs next, with `PURPOSE@CALL` in the call id of its
 * reply.
 */
export function sendNextStoreCall(state: SchedulerState, call: CallRow, timeoutMs: number): void {
  const send = (purpose: string, storeCall: StoreCall): void => {
    sendStoreCall(state, `${purpose}@${call.id}`, storeCall, timeoutMs);
  };
  const { call: request, jobId, barLeaseId } = call;
  const cancellation = { key: STORE_KEYS.cancel(jobId), value: { by: state.self.id } };
  if (request.kind === 'submit') send('submit', buildSubmission(state, call));
  else if (request.kind === 'read') send('read', buildRead(jobId));
  else if (call.jobVersion > 0) send('cancel', buildInsert([cancellation.key], cancellation));
  else if (barLeaseId === undefined) send('read', buildRead(jobId));
  else if (barLeaseId === '') send('barLease', { op: 'grantLease', ttlMs: TOMBSTONE_TTL_MS });
  else
    send(
      'bar',
      buildInsert([STORE_KEYS.job(jobId), cancellation.key], {
        ...cancellation,
        leaseId: barLeaseId,
      }),
    );
}

/** Builds the stored job of a submission. */
export function buildSubmittedJob(
  state: SchedulerState,
  { queue, terms, startedAt }: CallRow,
  spec: JobSpec,
): SubmittedJob {
  const acceptedAtMs = Math.round(startedAt + state.wallOffsetMs);
  return { queue, service: terms.service, spec, acceptedAtMs, terms };
}

/** Builds the write of a submission, which fails if the job was cancelled before. */
function buildSubmission(state: SchedulerState, call: CallRow): StoreCall {
  if (call.call.kind !== 'submit')
    throw new TypeError(`call is not a submission: ${call.call.kind}`);
  const { jobId } = call;
  const job = buildSubmittedJob(state, call, call.call.spec);
  const key = STORE_KEYS.job(jobId);
  return buildInsert([key, STORE_KEYS.cancel(jobId)], { key, value: job });
}

/** Builds a write that succeeds only if none of the keys exists. */
function buildInsert(
  absentKeys: readonly string[],
  put: { readonly key: string; readonly value: unknown; readonly leaseId?: string },
): StoreCall {
  return {
    op: 'transact',
    expected: absentKeys.map((key) => ({ key, version: 0 })),
    puts: [put],
    deletes: [],
  };
}

/**
 * Builds a comparison whose failure returns the submission, the cancellation and the progress in
 * one reply.
 */
function buildRead(jobId: string): StoreCall {
  const keys = [STORE_KEYS.job(jobId), STORE_KEYS.cancel(jobId), STORE_KEYS.progress(jobId)];
  return {
    op: 'transact',
    expected: keys.map((key) => ({ key, version: 0 })),
    puts: [],
    deletes: [],
  };
}
