import { sortByRendezvous } from '../../base/common/rendezvous.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { KeyMember, MembershipView } from '../../model/key.ts';

/** A repeated request finds its first answer for this long. */
export const DEDUPLICATION_WINDOW_MS = 600_000;

/** Entries of the own region: callers resend to any of them. */
export function listMembers(state: EntryState): KeyMember[] {
  const { info } = state.self;
  const members = [...state.entries.values()]
    .filter((entry) => entry.region === info.region)
    .map(({ id, zone }) => ({ id, zone }));
  return members.length > 0 ? members : [{ id: info.id, zone: info.zone }];
}

/** The primary and the secondary holder of a key; the secondary is in another zone when there is one. */
export function listKeyReplicas(key: string, members: readonly KeyMember[]): KeyMember[] {
  const byId = new Map(members.map((member) => [member.id, member]));
  const sorted = sortByRendezvous(key, [...byId.keys()]).flatMap((id) => byId.get(id) ?? []);
  const primary = sorted[0];
  if (primary === undefined) return [];
  const secondary = sorted.find((member) => member.zone !== primary.zone) ?? sorted[1];
  return secondary === undefined ? [primary] : [primary, secondary];
}

/**
 * Whether this holder's memory covers the whole window for a key: at each time of the window a
 * holder of the key was this entry, or an entry that has handed its records over since.
 */
export function hasFullHistory(state: EntryState, nowMs: number, key: string): boolean {
  const windowStartMs = nowMs - DEDUPLICATION_WINDOW_MS;
  const { membershipViews } = state.keyReplicaState;
  if (membershipViews[0] === undefined || membershipViews[0].sinceMs > windowStartMs)
    if (!hasHistoryBeforeViews(state, windowStartMs, membershipViews[0], key)) return false;
  return membershipViews.every((view, index) => {
    const endMs = membershipViews[index + 1]?.sinceMs ?? nowMs;
    return endMs <= windowStartMs || hasHistoryOfView(state, view, endMs, windowStartMs, key);
  });
}

/** Before its first view this entry knows only what leaving holders have handed over. */
function hasHistoryBeforeViews(
  state: EntryState,
  windowStartMs: number,
  firstView: MembershipView | undefined,
  key: string,
): boolean {
  if (firstView === undefined) return false;
  return listKeyReplicas(key, firstView.members).some(({ id }) => {
    const history = state.keyHistories.get(id);
    return history !== undefined && history.fromMs <= windowStartMs;
  });
}

function hasHistoryOfView(
  state: EntryState,
  view: MembershipView,
  endMs: number,
  windowStartMs: number,
  key: string,
): boolean {
  const startMs = Math.max(view.sinceMs, windowStartMs);
  return listKeyReplicas(key, view.members).some(({ id }) => {
    if (id === state.self.info.id) return true;
    const history = state.keyHistories.get(id);
    return history !== undefined && history.fromMs <= startMs && history.untilMs >= endMs;
  });
}
