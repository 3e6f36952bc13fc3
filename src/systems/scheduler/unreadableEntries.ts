import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';

/** Entries whose version is kept; a store with more unreadable ones repeats some log lines. */
const MAX_KNOWN_ENTRIES = 1_000;

/**
 * Logs and counts an entry of the store that cannot be read and is left aside. Lists and watches
 * return the entry again; each version of it is logged once.
 */
export function recordUnreadableEntry(
  state: SchedulerState,
  event: string,
  entry: { readonly key: string; readonly version: number },
  fields: Readonly<Record<string, string | number>>,
): void {
  const { unreadableEntries } = state;
  if (unreadableEntries.get(entry.key) === entry.version) return;
  unreadableEntries.delete(entry.key);
  unreadableEntries.set(entry.key, entry.version);
  const [oldestKey] = unreadableEntries.keys();
  if (unreadableEntries.size > MAX_KNOWN_ENTRIES && oldestKey !== undefined)
    unreadableEntries.delete(oldestKey);
  state.counters.add('unreadable_entries', { event });
  logEvent(state, 'error', event, { ...fields, version: entry.version });
}
