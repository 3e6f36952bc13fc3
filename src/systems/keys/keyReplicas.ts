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
  const order = sortByRendezvous(key, [...byId.keys()]).flatMap((id) => byId.get(id) ?? []);
  const primary = order[0];
  if (primary === undefined) return [];
  const secondary = order.find((member) => member.zone !== primary.zone) ?? order[1];
  return secondary === undefined ? [primary] : [primary, secondary];
}

/**
 * Whether this holder's memory covers the whole window for a key: at each time of the window a
 * holder of the key was this entry, or an entry that has handed its records over since.
 */
export function hasFullHistory(state: EntryState, nowMs: number, key: string): boolean {
  const windowStartMs = nowMs - DEDUPLICATION_WINDOW_MS;
  const { membershipViews: views } = state.keyReplicaState;
  if (views[0] === undefined || views[0].sinceMs > windowStartMs)
    if (!hasCoverBefore(state, windowStartMs, views[0], key)) return false;
  return views.every((view, index) => {
    const endMs = views[index + 1]?.sinceMs ?? nowMs;
    return endMs <= windowStartMs || isViewCovered(state, view, endMs, windowStartMs, key);
  });
}

/** Before its first view this entry knows only what leaving holders have handed over. */
function hasCoverBefore(
  state: EntryState,
  windowStartMs: number,
  first: MembershipView | undefined,
  key: string,
): boolean {
  if (first === undefined) return false;
  return listKeyReplicas(key, first.members).some(({ id }) => {
    const cover = state.keyHistories.get(id);
    return cover !== undefined && cover.fromMs <= windowStartMs;
  });
}

function isViewCovered(
  state: EntryState,
  view: MembershipView,
  endMs: number,
  windowStartMs: number,
  key: string,
): boolean {
  const startMs = Math.max(view.sinceMs, windowStartMs);
  return listKeyReplicas(key, view.members).some(({ id }) => {
    if (id === state.self.info.id) return true;
    const cover = state.keyHistories.get(id);
    return cover !== undefined && cover.fromMs <= startMs && cover.untilMs >= endMs;
  });
}
