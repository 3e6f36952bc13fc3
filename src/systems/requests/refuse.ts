import type { Failure } from '../../base/common/errors.ts';
import type { EntryState } from '../../model/entryState.ts';

/** Refuses a request that has no row yet and counts the reason. */
export function sendRefusal(state: EntryState, requestId: string, failure: Failure): void {
  state.counters.add('refusals', { reason: failure.kind });
  state.outbox.append({ kind: 'refuseCaller', requestId, failure });
}

/** Ends a request with a failure. The row is removed, so a late answer finds nothing to answer. */
export function closeWithFailure(state: EntryState, requestId: string, failure: Failure): void {
  if (state.requests.remove(requestId) === undefined) return;
  sendRefusal(state, requestId, failure);
}
