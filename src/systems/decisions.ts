import type { EntryState } from '../model/entryState.ts';

/** Oldest decisions are dropped beyond this number. */
const MAX_DECISIONS = 20_000;

/** Records a decision and its reason for `explain`. */
export function recordDecision(
  state: EntryState,
  nowMs: number,
  subject: string,
  action: string,
  reason: string,
): void {
  const id = `${state.nextDecision}`;
  state.nextDecision += 1;
  state.decisions.set({ id, subject, action, reason, atMs: nowMs });
  if (state.decisions.size <= MAX_DECISIONS) return;
  for (const oldest of state.decisions.values()) {
    state.decisions.remove(oldest.id);
    break;
  }
}
