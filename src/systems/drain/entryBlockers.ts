import type { EntryState } from '../../model/entryState.ts';

/** Lists the names of what must finish before the process can exit. */
export type EntryBlockerCheck = (state: EntryState) => string[];

/** Blocks the exit during requests in progress and until key records are handed off to replicas. */
export function listRequestBlockers(state: EntryState): string[] {
  const blockers: string[] = [];
  if (!state.self.isFrontClosed) blockers.push('front');
  if (state.requests.size > 0) blockers.push('requests');
  if (state.keyOutcomes.size > 0) blockers.push('keySettlements');
  if (!state.keyReplicaState.isHandedOff || state.keyHandoffs.size > 0) blockers.push('keys');
  return blockers;
}

/** Blocks the exit of an entry that owns a shard or is releasing one. */
export function listOwnershipBlockers(state: EntryState): string[] {
  const isHeld = [...state.duties.values()].some(
    (ownership) => ownership.phase === 'holding' || ownership.phase === 'releasing',
  );
  return isHeld ? ['duties'] : [];
}

/** Blocks the exit while the entry is registered in the entry list. */
export function listRegistrationBlockers(state: EntryState): string[] {
  return state.registration.leaseId === undefined ? [] : ['registration'];
}

/** All checks that delay the exit of an entry. */
export const ENTRY_BLOCKER_CHECKS: readonly EntryBlockerCheck[] = [
  listRequestBlockers,
  listOwnershipBlockers,
  listRegistrationBlockers,
];
