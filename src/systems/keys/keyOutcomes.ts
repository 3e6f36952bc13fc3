import { hashText } from '../../base/common/rendezvous.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { RequestRow, Response } from '../../model/request.ts';

/** Largest response that replicas store; the outcome of a larger one is `unknown`. */
const MAX_RESPONSE_BYTES = 32 * 1024;

/** Formats the id under which replicas store the idempotency key of a request. */
export function formatKeyId(request: RequestRow): string {
  return `${request.service}/${request.request.idempotencyKey ?? ''}`;
}

/** Computes the fingerprint that distinguishes different requests with the same key. */
export function hashRequest(request: RequestRow): number {
  const { method, path, body } = request.request;
  const text = `${request.route} ${method} ${path} ${Buffer.from(body).toString('latin1')}`;
  return hashText(text);
}

/** Queues the message that reports the outcome of a request with a claimed key to the replicas. */
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
