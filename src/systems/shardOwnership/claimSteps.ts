import { formatFaults, parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { OwnershipClaimRow, OwnershipRecord } from '../../model/ledger.ts';
import { ownershipLockSchema, ownershipRecordSchema } from '../../model/ledger.ts';
import type { StoreReply } from '../../model/store.ts';
import { recordDecision } from '../decisions.ts';
import { LEASE_MARGIN_MS, TASK_LEASE_MS } from '../leases/leaseTimes.ts';
import { discardShardOwnership } from './discardShardOwnership.ts';
import { buildOwnershipRecord, sendStep } from './claimCalls.ts';

const RETRY_DELAY_MS = 500;

/** Whether this entry owns the shard, even while it still recovers the ledger. */
export function isOwner(state: EntryState, shard: string): boolean {
  const phase = state.duties.get(shard)?.phase;
  return phase === 'holding' || phase === 'recovering';
}

/** Abandons a claim and returns to watching. Revoking the store lease also deletes the lock key. */
export function stopClaim(
  state: EntryState,
  claim: OwnershipClaimRow,
  nowMs: number,
  reason: string,
) {
  if (claim.leaseId !== undefined) {
    const callId = `duty/${claim.id}/abandon/${nowMs}`;
    const call = { op: 'revokeLease', leaseId: claim.leaseId } as const;
    state.outbox.append({ kind: 'callStore', callId, call, timeoutMs: 1_000 });
  }
  state.ownershipClaims.set({
    ...claim,
    step: 'idle',
    callId: undefined,
    leaseId: undefined,
    renewCallId: undefined,
    isLeaseLost: false,
    unlockedSinceMs: undefined,
  });
  if (isOwner(state, claim.id) || state.duties.get(claim.id)?.phase === 'releasing')
    discardShardOwnership(state, claim.id, nowMs, reason);
  else state.duties.update(claim.id, { phase: 'watching' });
}

/** Parses an ownership record. A damaged one is logged and not used, so that no entry takes the shard over. */
export function parseOwnershipRecord(
  state: EntryState,
  shard: string,
  value: unknown,
): OwnershipRecord | undefined {
  return parseValue(ownershipRecordSchema, value).caseOf({
    Left: (faults) => {
      state.counters.add('damaged_store_values', { key: 'duties' });
      const fields = { shard, faults: formatFaults(faults) };
      state.outbox.append({ kind: 'log', level: 'error', event: 'duty_record_damaged', fields });
      return undefined;
    },
    Right: (record) => record,
  });
}

/** Sends the store call of a step under a new call id. */
export function startStep(
  state: EntryState,
  tick: Tick,
  claim: OwnershipClaimRow,
  step: OwnershipClaimRow['step'],
  isReadBack = false,
): void {
  const callId = `duty/${claim.id}/${step}/${tick.random.takeId()}`;
  sendStep(state, claim, tick.now, callId, step, isReadBack);
}

/** Handles the store's reply to the current step of a claim. */
export function handleStepReply(
  state: EntryState,
  tick: Tick,
  claim: OwnershipClaimRow,
  reply: StoreReply,
): void {
  if (reply.kind === 'unavailable') {
    state.ownershipClaims.set({
      ...claim,
      callId: undefined,
      retryAtMs: tick.now + RETRY_DELAY_MS,
    });
    return;
  }
  switch (claim.step) {
    case 'granting':
      if (reply.kind === 'lease') {
        const next = { ...claim, leaseId: reply.leaseId, renewSentMs: claim.sentMs };
        startStep(state, tick, next, 'holding-key');
      }
      return;
    case 'holding-key':
      handleLockReply(state, tick, claim, reply);
      return;
    case 'writing-record':
      handleRecordReply(state, tick, claim, reply);
      return;
    case 'releasing-record':
      handleReleaseReply(state, tick, claim, reply);
      return;
    case 'deleting':
      stopClaim(state, { ...claim, leaseId: undefined }, tick.now, 'released');
      return;
    default:
  }
}

/** Retries a step whose reply was lost. Reads a write back before it is repeated. */
export function retryStep(state: EntryState, tick: Tick, claim: OwnershipClaimRow): void {
  const isWrite = ['holding-key', 'writing-record', 'releasing-record'].includes(claim.step);
  startStep(state, tick, claim, claim.step, isWrite);
}

function handleLockReply(
  state: EntryState,
  tick: Tick,
  claim: OwnershipClaimRow,
  reply: StoreReply,
): void {
  if (reply.kind === 'written') {
    startRecordStep(state, tick, claim);
    return;
  }
  if (reply.kind === 'leaseLost') {
    startStep(state, tick, claim, 'granting');
    return;
  }
  if (reply.kind === 'entry') {
    const lock = parseValue(ownershipLockSchema, reply.entry.value).toMaybe().extract();
    if (lock?.token === claim.token) {
      startRecordStep(state, tick, claim);
      return;
    }
    if (reply.entry.version === 0) {
      startStep(state, tick, claim, 'holding-key');
      return;
    }
  }
  // An owner whose lease has expired can find its previous lock key still in the store, with the same token.
  if (reply.kind === 'conflict' && !claim.isReadBack) {
    startStep(state, tick, claim, 'holding-key', true);
    return;
  }
  stopClaim(state, claim, tick.now, 'held-by-another');
}

/** Continues after the lock key is written: an owner reads the record back, a candidate writes it. */
function startRecordStep(state: EntryState, tick: Tick, claim: OwnershipClaimRow): void {
  startStep(state, tick, claim, 'writing-record', isOwner(state, claim.id));
}

function handleRecordReply(
  state: EntryState,
  tick: Tick,
  claim: OwnershipClaimRow,
  reply: StoreReply,
): void {
  if (reply.kind === 'written') {
    confirmOwnership(state, tick, claim, reply.version, buildOwnershipRecord(state, claim));
    return;
  }
  if (reply.kind === 'conflict') {
    startStep(state, tick, claim, 'writing-record', true);
    return;
  }
  if (reply.kind !== 'entry') return;
  if (reply.entry.version === claim.recordVersion && !isOwner(state, claim.id)) {
    startStep(state, tick, claim, 'writing-record');
    return;
  }
  const record = parseOwnershipRecord(state, claim.id, reply.entry.value);
  if (record?.token === claim.token) {
    confirmOwnership(state, tick, claim, reply.entry.version, record);
    return;
  }
  stopClaim(state, claim, tick.now, 'record-of-another');
}

function confirmOwnership(
  state: EntryState,
  tick: Tick,
  claim: OwnershipClaimRow,
  version: number,
  record: OwnershipRecord,
): void {
  const previousRecord = claim.record;
  state.ownershipClaims.set({
    ...claim,
    step: 'held',
    callId: undefined,
    record,
    recordVersion: version,
    isLeaseLost: false,
    unlockedSinceMs: undefined,
  });
  const confirmed = {
    confirmedMs: claim.sentMs,
    ownerId: record.ownerId,
    ownerAddress: record.ownerAddress,
  };
  if (isOwner(state, claim.id)) {
    state.duties.update(claim.id, confirmed);
    return;
  }
  state.duties.update(claim.id, {
    ...confirmed,
    phase: 'recovering',
    epoch: record.epoch,
    takenMs: tick.now,
    inheritedUntilMs: computeInheritedUntilMs(previousRecord, tick.now),
  });
  state.counters.add('duty_takeovers');
  recordDecision(state, tick.now, claim.id, 'take-duty', `epoch ${record.epoch}`);
  const fields = { shard: claim.id, epoch: record.epoch };
  state.outbox.append({ kind: 'log', level: 'info', event: 'duty_taken', fields });
}

/** Computes the end of the leases that the previous owner may have renewed for workers that do not report. */
function computeInheritedUntilMs(previous: OwnershipRecord | undefined, nowMs: number): number {
  if (previous === undefined) return nowMs;
  const graceMs = previous.released ? 0 : previous.graceMs;
  return nowMs + graceMs + TASK_LEASE_MS + LEASE_MARGIN_MS;
}

function handleReleaseReply(
  state: EntryState,
  tick: Tick,
  claim: OwnershipClaimRow,
  reply: StoreReply,
): void {
  if (reply.kind === 'written') {
    startStep(state, tick, claim, 'deleting');
    return;
  }
  if (reply.kind === 'conflict') {
    startStep(state, tick, claim, 'releasing-record', true);
    return;
  }
  if (reply.kind !== 'entry') return;
  if (reply.entry.version === claim.recordVersion) {
    startStep(state, tick, claim, 'releasing-record');
    return;
  }
  startStep(state, tick, claim, 'deleting');
}
