import type { EntryState } from '../../model/entryState.ts';

/** Names what still has to finish before the process may exit. */
export type EntryBlockerCheck = (state: EntryState) => string[];

/** Requests in progress and key records that have not reached their next replicas. */
export function listRequestBlockers(state: EntryState): string[] {
  const blockers: string[] = [];
  if (!state.self.isFrontClosed) blockers.push('front');
  if (state.requests.size > 0) blockers.push('requests');
  if (state.keyOutcomes.size > 0) blockers.push('keySettlements');
  if (!state.keyReplicaState.isHandedOff || state.keyHandoffs.size > 0) blockers.push('keys');
  return blockers;
}

/** Blocks the stop of an entry that owns a shard or is releasing one. */
export function listOwnershipBlockers(state: EntryState): string[] {
  const isHeld = [...state.duties.values()].some(
    (ownership) => ownership.phase === 'holding' || ownership.phase === 'releasing',
  );
  return isHeld ? ['duties'] : [];
}

/** The entry's key in the entry list. */
export function listRegistrationBlockers(state: EntryState): string[] {
  return state.registration.leaseId === undefined ? [] : ['registration'];
}

/** Everything that an entry has to finish. */
export const ENTRY_BLOCKER_CHECKS: readonly EntryBlockerCheck[] = [
  listRequestBlockers,
  listOwnershipBlockers,
  listRegistrationBlockers,
];
