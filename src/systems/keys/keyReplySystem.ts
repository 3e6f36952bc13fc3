import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { PeerReply } from '../../model/peer.ts';
import { completeWithFailure, completeWithResponse } from '../requests/requestCompletion.ts';

const CLAIM_RETRY_DELAY_MS = 50;

/**
 * Handles the primary replicas' replies to claims and outcomes.
 * Reads `peerReply`. Writes `calls`, `requests`, `keyOutcomes`.
 * Runs each tick after the replica and before dispatch.
 */
export class KeyReplySystem extends System<EntryState> {
  override readonly name = 'keyReply';

  private constructor() {
    super();
  }

  static create(): KeyReplySystem {
    return new KeyReplySystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { callId, reply } of state.inbox.list('peerReply')) {
      if (callId.startsWith('claim/')) this.handleClaimReply(state, tick, callId, reply);
      if (callId.startsWith('settle/') && reply?.kind === 'done')
        state.keyOutcomes.remove(callId.slice('settle/'.length));
    }
  }

  private handleClaimReply(
    state: EntryState,
    tick: Tick,
    callId: string,
    reply: PeerReply | undefined,
  ): void {
    const requestId = state.calls.remove(callId)?.subject ?? '';
    const request = state.requests.get(requestId);
    if (request?.phase !== 'claiming') {
      state.counters.add('late_key_claims');
      return;
    }
    if (reply?.kind !== 'keyClaim') {
      state.counters.add('key_claims_retried');
      const notBeforeMs = tick.now + CLAIM_RETRY_DELAY_MS * (1 + tick.random.takeUnit());
      state.requests.update(requestId, { notBeforeMs });
      tick.wakeAt(notBeforeMs);
      return;
    }
    state.counters.add('key_claims', { state: reply.state });
    if (reply.state === 'granted') state.requests.update(requestId, { phase: 'queued' });
    else this.answerFromRecord(state, requestId, reply);
  }

  private answerFromRecord(
    state: EntryState,
    requestId: string,
    reply: Extract<PeerReply, { kind: 'keyClaim' }>,
  ): void {
    // The record belongs to another request, whose outcome this one must not report. After `unknown`, a
    // replica may still have a copy of this request's own claim, which has to be released.
    if (reply.state !== 'unknown') state.requests.update(requestId, { hasClaim: false });
    if (reply.state === 'answered' && reply.response !== undefined)
      completeWithResponse(state, requestId, reply.response);
    else if (reply.state === 'inProgress')
      completeWithFailure(
        state,
        requestId,
        createFailure(
          'request_in_progress',
          'a request with this idempotency key is still running',
        ),
      );
    else if (reply.state === 'reused')
      completeWithFailure(
        state,
        requestId,
        createFailure('key_reused', 'this idempotency key was used for a different request'),
      );
    else
      completeWithFailure(
        state,
        requestId,
        createFailure(
          'outcome_unknown',
          'an earlier request with this idempotency key may have run',
        ),
      );
  }
}
