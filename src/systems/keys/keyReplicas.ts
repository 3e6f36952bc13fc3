import { sortByRendezvous } from '../../base/common/rendezvous.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { KeyMember, MembershipView } from '../../model/key.ts';

/** Time for which a repeated request gets the response to the first one. */
export const DEDUPLICATION_WINDOW_MS = 600_000;

/** Lists the entries of the own region, to any of which callers can resend a request. */
export function listRegionMembers(state: EntryState): KeyMember[] {
  const { info } = state.self;
  const members = [...state.entries.values()]
    .filter((entry) => entry.region === info.region)
    .map(({ id, zone }) => ({ id, zone }));
  return members.length > 0 ? members : [{ id: info.id, zone: info.zone }];
}

/** Lists the primary and the secondary replica of a key. The secondary is in another zone if possible. */
export function listKeyReplicas(key: string, members: readonly KeyMember[]): KeyMember[] {
  const byId = new Map(members.map((member) => [member.id, member]));
  const order = sortByRendezvous(key, [...byId.keys()]).flatMap((id) => byId.get(id) ?? []);
  const primary = order[0];
  if (primary === undefined) return [];
  const secondary = order.find((member) => member.zone !== primary.zone) ?? order[1];
  return secondary === undefined ? [primary] : [primary, secondary];
}

/**
 * Whether this replica has the full history of a key in the deduplication window: at each time of the
 * window, a replica of the key was this entry or an entry that has handed its records off since.
 */
export function hasFullHistory(state: EntryState, nowMs: number, key: string): boolean {
  const windowStartMs = nowMs - DEDUPLICATION_WINDOW_MS;
  const { membershipViews: views } = state.keyReplicaState;
  if (views[0] === undefined || views[0].sinceMs > windowStartMs)
    if (!hasHistoryBeforeViews(state, windowStartMs, views[0], key)) return false;
  return views.every((view, index) => {
    const endMs = views[index + 1]?.sinceMs ?? nowMs;
    return endMs <= windowStartMs || hasHistoryOfView(state, view, endMs, windowStartMs, key);
  });
}

/** Whether handed-off records, the only ones from before the first view, reach back to the window's start. */
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
