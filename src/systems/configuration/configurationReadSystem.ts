import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { formatFaults, parseValue } from '../../base/common/parse.ts';
import { configurationSchema } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { StoreReply } from '../../model/store.ts';

export const CONFIGURATION_KEY = 'config/current';
const READ_PERIOD_MS = 1_000;
const READ_TIMEOUT_MS = 2_000;
const CALL_ID = 'configuration.read';

/**
 * Keeps the configuration up to date from the store.
 * Reads `storeReply`. Writes the configuration, the phase of the process and `calls`.
 * Runs each turn; sends a conditional read every second.
 */
export class ConfigurationReadSystem extends System<EntryState> {
  override readonly name = 'configurationRead';

  private constructor() {
    super();
  }

  static create(): ConfigurationReadSystem {
    return new ConfigurationReadSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const arrival of state.inbox.list('storeReply')) {
      if (arrival.callId === CALL_ID) this.handleReply(state, arrival.reply);
    }
    this.sendRead(state, tick);
  }

  private sendRead(state: EntryState, tick: Tick): void {
    const pending = state.calls.get(CALL_ID);
    if (pending !== undefined && tick.now - pending.sentMs < READ_PERIOD_MS) {
      tick.wakeAt(pending.sentMs + READ_PERIOD_MS);
      return;
    }
    state.calls.set({
      id: CALL_ID,
      owner: this.name,
      purpose: 'read',
      subject: CONFIGURATION_KEY,
      sentMs: tick.now,
    });
    state.outbox.append({
      kind: 'callStore',
      callId: CALL_ID,
      call: { op: 'read', key: CONFIGURATION_KEY, newerThan: state.configuration.version },
      timeoutMs: READ_TIMEOUT_MS,
    });
    tick.wakeAt(tick.now + READ_PERIOD_MS);
  }

  private handleReply(state: EntryState, reply: StoreReply): void {
    const sentMs = state.calls.get(CALL_ID)?.sentMs;
    if (reply.kind === 'unchanged') {
      state.configuration.confirmedSentMs = sentMs;
      state.self.phase = state.self.phase === 'starting' ? 'serving' : state.self.phase;
      return;
    }
    if (reply.kind !== 'entry') return;
    parseValue(configurationSchema, reply.entry.value).caseOf({
      Left: (faults) => {
        state.outbox.append({
          kind: 'log',
          level: 'error',
          event: 'configuration_invalid',
          fields: { faults: formatFaults(faults) },
        });
      },
      Right: (configuration) => {
        if (configuration.revision < state.configuration.current.revision) return;
        state.configuration.current = configuration;
        state.configuration.version = reply.entry.version;
        state.configuration.confirmedSentMs = sentMs;
        if (state.self.phase === 'starting') state.self.phase = 'serving';
        state.outbox.append({
          kind: 'log',
          level: 'info',
          event: 'configuration_in_force',
          fields: { revision: configuration.revision },
        });
      },
    });
  }
}
