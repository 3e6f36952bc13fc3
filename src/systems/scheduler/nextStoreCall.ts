import type { SubmittedJob } from '../../model/scheduler/jobRecord.ts';
import { STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { CallRow, SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreCall } from '../../model/store.ts';
import { sendStoreCall } from './storeCalls.ts';

/**
 * How long the cancellation of a job that is not stored bars its submission, ms. An entry may try to
 * store a submission until its caller's deadline, 3 s as a rule, and a write without an answer takes
 * effect up to 6 s later.
 */
export const TOMBSTONE_TTL_MS = 10_000;

/** Sends the store call that a caller's call needs next. Its reply comes back under `PURPOSE@CALL`. */
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

/** A submission whose job was cancelled before it is stored must not be stored any more. */
function buildSubmission(state: SchedulerState, call: CallRow): StoreCall {
  if (call.call.kind !== 'submit') throw new TypeError(`not a submission: ${call.call.kind}`);
  const { jobId } = call;
  const job: SubmittedJob = {
    queue: call.queue,
    service: call.service,
    spec: call.call.spec,
    acceptedAtMs: Math.round(call.startedAt + state.wallOffsetMs),
  };
  const key = STORE_KEYS.job(jobId);
  return buildInsert([key, STORE_KEYS.cancel(jobId)], { key, value: job });
}

/** Writes a value if none of the keys exists. */
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

/** A comparison that fails returns the submission, the cancellation and the progress in one answer. */
function buildRead(jobId: string): StoreCall {
  const keys = [STORE_KEYS.job(jobId), STORE_KEYS.cancel(jobId), STORE_KEYS.progress(jobId)];
  return {
    op: 'transact',
    expected: keys.map((key) => ({ key, version: 0 })),
    puts: [],
    deletes: [],
  };
}
