import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { LedgerRow, LedgerWrite } from '../../model/ledger.ts';
import { ledgerLayoutSchema, segmentSchema, snapshotPartSchema } from '../../model/ledger.ts';
import type { StoreReply } from '../../model/store.ts';
import { stopClaim } from '../shardOwnership/claimSteps.ts';
import { LEASE_MARGIN_MS, TASK_LEASE_MS } from '../leases/leaseTimes.ts';
import { updateAssignedRuns } from '../leases/runRows.ts';
import { applyShardChanges, queueTaskRemoval } from './ledgerChanges.ts';
import { RING_SEGMENT_COUNT } from './ledgerKeys.ts';
import {
  handleRecoveryReply,
  restartRecovery,
  sendRecoveryRead,
  startRecovery,
} from './ledgerRecovery.ts';
import { confirmPart, startDueSnapshotWrite } from './ledgerSnapshots.ts';
import { LEDGER_CALL_TIMEOUT_MS, sendWrite, startAppend, collectBatch } from './ledgerWrites.ts';

const APPEND_PERIOD_MS = 100;
const URGENT_APPEND_PERIOD_MS = 20;
const RETRY_DELAY_MS = 500;
/** Time for which a closed task is kept to answer repeated submissions of its job. */
const CLOSED_TASK_RETENTION_MS = 24 * 3_600_000;
const RETENTION_CHECK_PERIOD_MS = 60_000;
const RETENTION_CALL_ID = 'ledger.retention';

/**
 * Writes the changes of owned shards to the store and reads their ledgers after a takeover.
 * Reads `storeReply`, `duties`, `pendingChanges`. Writes `ledgers`, `tasks`, `ledgerTasks`, `duties`.
 * Runs each tick after the shard ownership and, because it applies confirmed changes, before all readers
 * of tasks.
 */
export class LedgerSystem extends System<EntryState> {
  override readonly name = 'ledger';

  private constructor() {
    super();
  }

  static create(): LedgerSystem {
    return new LedgerSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { callId, reply } of state.inbox.list('storeReply')) {
      for (const ledger of state.ledgers.list()) {
        if (ledger.readCallId === callId) handleRecoveryReply(state, tick, ledger, reply);
        else if (ledger.append?.callId === callId)
          this.handleWriteReply(state, tick, ledger, ledger.append, reply);
        else if (ledger.snapshot?.callId === callId)
          this.handleWriteReply(state, tick, ledger, ledger.snapshot, reply);
      }
    }
    for (const ownership of state.duties.list()) {
      if (ownership.phase === 'recovering' && !state.ledgers.has(ownership.id))
        startRecovery(state, tick, ownership, 0);
      const ledger = state.ledgers.get(ownership.id);
      if (ledger === undefined) continue;
      sendRecoveryRead(state, tick, ledger);
      this.advanceWrites(state, tick, ownership.id, ownership.phase === 'holding');
    }
    this.queueExpiredRemovals(state, tick);
  }

  private handleWriteReply(
    state: EntryState,
    tick: Tick,
    ledger: LedgerRow,
    write: LedgerWrite,
    reply: StoreReply,
  ): void {
    if (reply.kind === 'written') this.confirmWrite(state, tick, ledger, write, reply.version);
    else if (reply.kind === 'conflict')
      this.setWrite(state, ledger, sendWrite(state, tick, ledger.id, write, true));
    else if (reply.kind === 'entry') this.handleReadBack(state, tick, ledger, write, reply.entry);
    else
      this.setWrite(state, ledger, {
        ...write,
        callId: '',
        retryAtMs: tick.now + RETRY_DELAY_MS,
      });
  }

  /** Determines from the stored value whether a write took effect, after a lost reply or a version conflict. */
  private handleReadBack(
    state: EntryState,
    tick: Tick,
    ledger: LedgerRow,
    write: LedgerWrite,
    entry: { version: number; value: unknown },
  ): void {
    if (entry.version === write.expectedVersion) {
      this.setWrite(state, ledger, sendWrite(state, tick, ledger.id, write));
      return;
    }
    const written = this.parseWrittenValue(write, entry.value);
    if (written?.token === write.value.token) {
      this.confirmWrite(state, tick, ledger, write, entry.version);
    } else if (written === undefined || written.epoch > ledger.epoch) {
      this.stopOwnership(state, tick, ledger, written === undefined ? 'ledger-damaged' : 'fenced');
    } else if (ledger.phase === 'fencing') {
      // An earlier owner wrote the value after the recovery had read it.
      restartRecovery(state, tick, ledger);
    } else if (write.kind !== 'part') {
      this.stopOwnership(state, tick, ledger, 'fenced');
    } else {
      // A late write of an earlier owner stored a valid but older snapshot, which is overwritten.
      const next = { ...write, expectedVersion: entry.version };
      this.setWrite(state, ledger, sendWrite(state, tick, ledger.id, next));
    }
  }

  private parseWrittenValue(
    write: LedgerWrite,
    value: unknown,
  ): { token: string; epoch: number } | undefined {
    switch (write.kind) {
      case 'append':
        return parseValue(segmentSchema, value).toMaybe().extract();
      case 'part':
        return parseValue(snapshotPartSchema, value).toMaybe().extract();
      case 'layout':
        return parseValue(ledgerLayoutSchema, value).toMaybe().extract();
    }
  }

  private stopOwnership(state: EntryState, tick: Tick, ledger: LedgerRow, reason: string): void {
    const claim = state.ownershipClaims.get(ledger.id);
    if (claim !== undefined) stopClaim(state, claim, tick.now, reason);
  }

  private setWrite(state: EntryState, ledger: LedgerRow, write: LedgerWrite): void {
    state.ledgers.update(
      ledger.id,
      write.kind === 'append' ? { append: write } : { snapshot: write },
    );
  }

  private confirmWrite(
    state: EntryState,
    tick: Tick,
    ledger: LedgerRow,
    write: LedgerWrite,
    version: number,
  ): void {
    const ownership = state.duties.get(ledger.id);
    if (ownership !== undefined && ownership.confirmedMs < write.sentMs)
      state.duties.update(ledger.id, { confirmedMs: write.sentMs });
    if (write.kind === 'append') this.confirmAppend(state, tick, ledger, write, version);
    else if (write.kind === 'part') confirmPart(state, ledger, write, version);
    else {
      const next = state.ledgers.update(ledger.id, {
        snapshot: undefined,
        layoutVersion: version,
        parts: ledger.nextParts ?? ledger.parts,
        nextParts: undefined,
      });
      if (next?.phase === 'fencing') startAppend(state, tick, next, []);
    }
  }

  private confirmAppend(
    state: EntryState,
    tick: Tick,
    ledger: LedgerRow,
    write: LedgerWrite,
    version: number,
  ): void {
    if (!('changes' in write.value)) return;
    const { seq, changes } = write.value;
    for (const change of changes)
      state.pendingChanges.remove(change.kind === 'put' ? change.task.id : change.taskId);
    applyShardChanges(state, ledger.id, changes, tick.now);
    updateAssignedRuns(state, changes, tick.now, tick.now + TASK_LEASE_MS + LEASE_MARGIN_MS);
    const ringVersions = [...ledger.ringVersions];
    ringVersions[seq % RING_SEGMENT_COUNT] = version;
    state.ledgers.update(ledger.id, {
      phase: 'ready',
      append: undefined,
      nextSegmentSeq: seq + 1,
      ringVersions,
      appendConfirmedMs: tick.now,
      segmentsSinceSnapshot: ledger.segmentsSinceSnapshot + 1,
    });
    if (ledger.phase === 'fencing') this.completeRecovery(state, tick, ledger);
  }

  private completeRecovery(state: EntryState, tick: Tick, ledger: LedgerRow): void {
    const ownership = state.duties.update(ledger.id, { phase: 'holding' });
    const tasks = [...state.tasks.values()].filter(
      (task) => state.ledgerTasks.get(task.id)?.shard === ledger.id,
    );
    const puts = tasks.map((task) => ({ kind: 'put', task }) as const);
    updateAssignedRuns(state, puts, tick.now, ownership?.inheritedUntilMs ?? tick.now);
    const fields = { shard: ledger.id, epoch: ledger.epoch, seq: ledger.nextSegmentSeq };
    state.outbox.append({ kind: 'log', level: 'info', event: 'ledger_recovered', fields });
    state.counters.add('ledger_recoveries');
    tick.wakeAt(tick.now);
  }

  private advanceWrites(state: EntryState, tick: Tick, shard: string, isHolding: boolean): void {
    for (const kind of ['append', 'snapshot'] as const) {
      const ledger = state.ledgers.get(shard);
      const write = ledger?.[kind];
      if (ledger !== undefined && write !== undefined) this.repeatWrite(state, tick, ledger, write);
    }
    if (!isHolding) return;
    startDueSnapshotWrite(state, tick, shard);
    this.startDueAppend(state, tick, shard);
  }

  private repeatWrite(state: EntryState, tick: Tick, ledger: LedgerRow, write: LedgerWrite): void {
    const dueMs = write.retryAtMs ?? write.sentMs + LEDGER_CALL_TIMEOUT_MS + RETRY_DELAY_MS;
    if (tick.now < dueMs) tick.wakeAt(dueMs);
    else this.setWrite(state, ledger, sendWrite(state, tick, ledger.id, write, true));
  }

  private startDueAppend(state: EntryState, tick: Tick, shard: string): void {
    const ledger = state.ledgers.get(shard);
    if (ledger?.phase !== 'ready' || ledger.append !== undefined) return;
    let hasPending = false;
    let isUrgent = false;
    for (const row of state.pendingChanges.values()) {
      if (row.shard !== shard) continue;
      hasPending = true;
      isUrgent ||= row.isUrgent;
    }
    if (!hasPending) return;
    const dueMs = ledger.appendStartedMs + (isUrgent ? URGENT_APPEND_PERIOD_MS : APPEND_PERIOD_MS);
    if (tick.now < dueMs) {
      tick.wakeAt(dueMs);
      return;
    }
    // The parts of a layout that is being written count too: a recovery reads them once it is written.
    const parts = [...ledger.parts, ...(ledger.nextParts ?? [])];
    const oldestSeq = Math.min(...parts.map((part) => part.uptoSeq));
    if (oldestSeq < ledger.nextSegmentSeq - RING_SEGMENT_COUNT) {
      state.counters.add('ledger_appends_held_back');
      return;
    }
    const batch = collectBatch(state, shard, ledger.nextSegmentSeq);
    startAppend(
      state,
      tick,
      ledger,
      batch.map((row) => row.change),
    );
  }

  private queueExpiredRemovals(state: EntryState, tick: Tick): void {
    const lastCheck = state.calls.get(RETENTION_CALL_ID);
    if (lastCheck !== undefined && tick.now - lastCheck.sentMs < RETENTION_CHECK_PERIOD_MS) return;
    state.calls.set({
      id: RETENTION_CALL_ID,
      system: this.name,
      purpose: 'retention',
      subject: '',
      sentMs: tick.now,
    });
    for (const ledgerTask of state.ledgerTasks.values()) {
      if (
        ledgerTask.closedMs === undefined ||
        tick.now - ledgerTask.closedMs < CLOSED_TASK_RETENTION_MS
      )
        continue;
      queueTaskRemoval(state, ledgerTask.shard, ledgerTask.id, tick.now);
    }
  }
}
