import { hashText } from '../../base/common/rendezvous.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { RequestRow, Response } from '../../model/request.ts';

/** Largest answer that holders keep; a larger one is settled as `unknown`. */
const MAX_RESPONSE_BYTES = 32 * 1024;

/** Name under which holders know the idempotency key of a request. */
export function formatKeyId(request: RequestRow): string {
  return `${request.service}/${request.request.idempotencyKey ?? ''}`;
}

/** Hash that tells whether two requests with the same key are the same request. */
export function hashRequest(request: RequestRow): number {
  const { method, path, body } = request.request;
  const text = `${request.route} ${method} ${path} ${Buffer.from(body).toString('latin1')}`;
  return hashText(text);
}

/** Queues the message that tells the key holders how a claimed request ended. */
export function queueKeyOutcome(
  state: EntryState,
  request: RequestRow,
  outcome: 'notRun' | 'answered' | 'unknown',
  response?: Response,
): void {
  if (request.hasClaim !== true) return;
  const isStored = response !== undefined && response.body.byteLength <= MAX_RESPONSE_BYTES;
  state.keyOutcomes.set({
    id: request.id,
    call: {
      kind: 'settleKey',
      key: formatKeyId(request),
      requestId: request.id,
      fingerprint: hashRequest(request),
      outcome: outcome === 'answered' && !isStored ? 'unknown' : outcome,
      ...(isStored ? { response } : {}),
      copy: false,
    },
    nextSendMs: 0,
    firstSentMs: undefined,
  });
}
