import type { EntryState } from '../../model/entryState.ts';
import type { PeerCall, PeerReply } from '../../model/peer.ts';

/** Marks calls of an entry to itself, which are handled in the same tick. */
const LOCAL_CALL_PREFIX = 'local/';
const KEY_CALL_TIMEOUT_MS = 1_000;

/** Calls another entry, or this one without a message. Returns false when the entry is unknown. */
export function sendKeyCall(
  state: EntryState,
  entryId: string,
  callId: string,
  call: PeerCall,
): boolean {
  if (entryId === state.self.info.id) {
    state.inbox.append({
      kind: 'peerCall',
      callId: LOCAL_CALL_PREFIX + callId,
      from: entryId,
      call,
    });
    return true;
  }
  const address = state.entries.get(entryId)?.address;
  if (address === undefined) return false;
  state.outbox.append({ kind: 'callPeer', callId, address, call, timeoutMs: KEY_CALL_TIMEOUT_MS });
  return true;
}

/** Answers a call of another entry or of this one. */
export function answerKeyCall(state: EntryState, callId: string, reply: PeerReply): void {
  if (callId.startsWith(LOCAL_CALL_PREFIX))
    state.inbox.append({
      kind: 'peerReply',
      callId: callId.slice(LOCAL_CALL_PREFIX.length),
      reply,
    });
  else state.outbox.append({ kind: 'answerPeer', callId, reply });
}
