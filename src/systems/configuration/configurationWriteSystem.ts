import type { ErrorKind } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { ValueFault } from '../../base/common/parse.ts';
import { formatFaults } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { Configuration } from '../../model/configuration.ts';
import { EMPTY_CONFIGURATION } from '../../model/configuration.ts';
import type { ConfigWriteRow } from '../../model/configWrite.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { StoreCall, StoreReply } from '../../model/store.ts';
import { checkTables } from '../../model/tableChecks.ts';
import { recordDecision } from '../decisions.ts';
import {
  applyConfiguration,
  CONFIGURATION_KEY,
  parseStoredConfiguration,
  recordConfirmation,
} from './applyConfiguration.ts';
import { buildChange, formatChange } from './configurationChange.ts';

/** Time within which a change is answered even if the store does not respond. */
const CHANGE_TIMEOUT_MS = 8_000;
const CALL_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 200;

/**
 * Writes accepted changes of operators to the store by compare-and-swap.
 * Reads `operatorCall`, `storeReply`. Writes `configWrites`, the configuration, `decisions`.
 * Runs each tick, after the reads. Each change first reads the key, so that it is compared with the
 * revision in the store and not with an older one of this entry.
 */
export class ConfigurationWriteSystem extends System<EntryState> {
  override readonly name = 'configurationWrite';

  private constructor() {
    super();
  }

  static create(): ConfigurationWriteSystem {
    return new ConfigurationWriteSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { callId, call } of state.inbox.list('operatorCall')) {
      if (call.kind === 'applyConfig' || call.kind === 'setZone')
        this.acceptChange(state, tick, callId, call);
    }
    for (const arrival of state.inbox.list('storeReply')) {
      const row = state.configWrites
        .list()
        .find((candidate) => candidate.pendingCallId === arrival.callId);
      if (row !== undefined) this.handleReply(state, tick, row, arrival.reply);
    }
    for (const row of state.configWrites.list()) this.sendNextCall(state, tick, row);
  }

  private acceptChange(
    state: EntryState,
    tick: Tick,
    callId: string,
    change: ConfigWriteRow['change'],
  ): void {
    if (change.kind === 'applyConfig') {
      const faults = checkTables(change.tables).swap().orDefault([]);
      if (faults.length > 0) {
        this.answerInvalid(state, callId, faults);
        return;
      }
    }
    state.configWrites.set({
      id: callId,
      change,
      phase: 'reading',
      token: tick.random.takeId(),
      deadlineMs: tick.now + CHANGE_TIMEOUT_MS,
      proposedConfiguration: undefined,
      expectedVersion: 0,
      notBeforeMs: tick.now,
      pendingCallId: undefined,
      sentMs: tick.now,
      callCount: 0,
    });
  }

  private sendNextCall(state: EntryState, tick: Tick, row: ConfigWriteRow): void {
    if (tick.now >= row.deadlineMs) {
      if (row.proposedConfiguration === undefined)
        this.answerFailure(
          state,
          row.id,
          'store_unavailable',
          'the store did not respond in time; the change was not written',
        );
      else
        this.answerFailure(
          state,
          row.id,
          'outcome_unknown',
          'the write was sent, but the store did not confirm whether it took effect',
        );
      return;
    }
    tick.wakeAt(row.deadlineMs);
    if (row.pendingCallId !== undefined) return;
    if (row.notBeforeMs > tick.now) {
      tick.wakeAt(row.notBeforeMs);
      return;
    }
    const call: StoreCall =
      row.phase === 'writing'
        ? {
            op: 'write',
            key: CONFIGURATION_KEY,
            expectedVersion: row.expectedVersion,
            value: row.proposedConfiguration,
          }
        : { op: 'read', key: CONFIGURATION_KEY };
    const callId = `${this.name}/${row.id}/${row.callCount + 1}`;
    state.configWrites.update(row.id, {
      pendingCallId: callId,
      sentMs: tick.now,
      callCount: row.callCount + 1,
    });
    state.outbox.append({ kind: 'callStore', callId, call, timeoutMs: CALL_TIMEOUT_MS });
  }

  private handleReply(state: EntryState, tick: Tick, row: ConfigWriteRow, reply: StoreReply): void {
    const patch = { pendingCallId: undefined, notBeforeMs: tick.now };
    if (reply.kind === 'unavailable') {
      state.counters.add('store_failures', { purpose: 'configWrite' });
      state.configWrites.update(row.id, {
        ...patch,
        notBeforeMs: tick.now + RETRY_DELAY_MS,
        phase: row.proposedConfiguration === undefined ? 'reading' : 'checking',
      });
    } else if (reply.kind === 'written' && row.proposedConfiguration !== undefined) {
      this.recordAccepted(state, tick, row, row.proposedConfiguration, reply.version);
    } else if (reply.kind === 'entry') {
      state.configWrites.update(row.id, patch);
      this.handleStoredEntry(state, tick, row, reply.entry);
    } else {
      // The conflict may come from an earlier write of the same change, so the key is read back.
      state.configWrites.update(row.id, { ...patch, phase: 'checking' });
    }
  }

  private handleStoredEntry(
    state: EntryState,
    tick: Tick,
    row: ConfigWriteRow,
    entry: { key: string; version: number; value?: unknown },
  ): void {
    const stored =
      entry.version === 0
        ? EMPTY_CONFIGURATION
        : parseStoredConfiguration(state, { ...entry, value: entry.value });
    if (stored === undefined) {
      this.answerFailure(
        state,
        row.id,
        'internal',
        'the configuration in the store is invalid; the change cannot be applied',
      );
      return;
    }
    if (row.proposedConfiguration !== undefined) {
      if (stored.token === row.token) {
        this.recordAccepted(state, tick, row, stored, entry.version);
        return;
      }
      if (stored.revision > row.proposedConfiguration.revision) {
        this.answerFailure(
          state,
          row.id,
          'outcome_unknown',
          `revision ${row.proposedConfiguration.revision} was superseded by ${stored.revision} before it could be read back`,
        );
        return;
      }
    }
    applyConfiguration(state, stored, 'store');
    this.scheduleWrite(state, tick, row, stored, entry.version);
  }

  /**
   * Schedules the write of the change based on the stored configuration, or answers why it cannot
   * be written.
   */
  private scheduleWrite(
    state: EntryState,
    tick: Tick,
    row: ConfigWriteRow,
    stored: Configuration,
    version: number,
  ): void {
    buildChange(row.change, stored, row.token).caseOf({
      Left: (refusal) => {
        if (refusal.kind === 'invalid') this.answerInvalid(state, row.id, refusal.faults);
        else if (refusal.kind === 'unchanged')
          this.answer(state, row.id, { revision: stored.revision, changed: false });
        else
          this.answerFailure(
            state,
            row.id,
            'config_conflict',
            `the tables were edited from revision ${refusal.baseRevision}, but the store has revision ${stored.revision}`,
            { baseRevision: refusal.baseRevision, currentRevision: stored.revision },
          );
      },
      Right: (next) => {
        state.configWrites.update(row.id, {
          phase: 'writing',
          proposedConfiguration: next,
          expectedVersion: version,
          notBeforeMs: tick.now,
        });
      },
    });
  }

  private recordAccepted(
    state: EntryState,
    tick: Tick,
    row: ConfigWriteRow,
    next: Configuration,
    version: number,
  ): void {
    applyConfiguration(state, next, 'operator');
    if (state.configuration.current.revision === next.revision)
      recordConfirmation(state, row.sentMs, version);
    const text = formatChange(row.change);
    const subject = row.change.kind === 'setZone' ? row.change.zone : 'configuration';
    recordDecision(state, tick.now, subject, text, `revision ${next.revision} is in the store`);
    state.outbox.append({
      kind: 'log',
      level: 'info',
      event: 'configuration_written',
      fields: { revision: next.revision, change: text },
    });
    this.answer(state, row.id, { revision: next.revision, changed: true });
  }

  private answer(state: EntryState, callId: string, value: unknown): void {
    state.configWrites.remove(callId);
    state.outbox.append({ kind: 'answerOperator', callId, answer: { kind: 'value', value } });
  }

  private answerInvalid(state: EntryState, callId: string, faults: readonly ValueFault[]): void {
    this.answerFailure(state, callId, 'config_invalid', formatFaults(faults), faults);
  }

  private answerFailure(
    state: EntryState,
    callId: string,
    kind: ErrorKind,
    message: string,
    details?: unknown,
  ): void {
    state.configWrites.remove(callId);
    state.counters.add('operator_refusals', { reason: kind });
    state.outbox.append({
      kind: 'answerOperator',
      callId,
      answer: {
        kind: 'failure',
        failure: createFailure(kind, message),
        ...(details === undefined ? {} : { details }),
      },
    });
  }
}
