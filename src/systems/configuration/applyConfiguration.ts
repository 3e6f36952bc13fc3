import { formatFaults, parseValue } from '../../base/common/parse.ts';
import type { Configuration } from '../../model/configuration.ts';
import { configurationSchema } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { StoreEntry } from '../../model/store.ts';

export const CONFIGURATION_KEY = 'config/current';

/**
 * Puts a configuration in force if its revision is greater than the current one. Returns whether it
 * did.
 */
export function applyConfiguration(
  state: EntryState,
  configuration: Configuration,
  source: 'store' | 'peer' | 'operator',
): boolean {
  if (configuration.revision <= state.configuration.current.revision) return false;
  state.configuration.current = configuration;
  state.counters.add('configurations_applied', { source });
  state.outbox.append({
    kind: 'log',
    level: 'info',
    event: 'configuration_in_force',
    fields: { revision: configuration.revision, source },
  });
  return true;
}

/** Records that a store read sent at `sentMs` returned the configuration in force. */
export function recordConfirmation(state: EntryState, sentMs: number, version: number): void {
  const { configuration } = state;
  configuration.version = version;
  configuration.confirmedSentMs = Math.max(configuration.confirmedSentMs ?? sentMs, sentMs);
}

/**
 * Parses the stored value. Logs the faults and returns undefined when it is invalid. Callers treat
 * a missing key, version 0, as the empty configuration.
 */
export function parseStoredConfiguration(
  state: EntryState,
  entry: StoreEntry,
): Configuration | undefined {
  return parseValue(configurationSchema, entry.value).caseOf<Configuration | undefined>({
    Left: (faults) => {
      state.counters.add('configurations_invalid');
      state.outbox.append({
        kind: 'log',
        level: 'error',
        event: 'configuration_invalid',
        fields: { version: entry.version, faults: formatFaults(faults) },
      });
      return undefined;
    },
    Right: (configuration) => configuration,
  });
}
