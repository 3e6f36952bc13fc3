import type { EntryState } from '../../model/entryState.ts';
import type { OwnershipClaimRow, OwnershipRecord, OwnershipClaimStep } from '../../model/ledger.ts';
import type { StoreCall } from '../../model/store.ts';

/** TTL of the store lease that the lock key is attached to. */
export const OWNERSHIP_LEASE_MS = 6_000;
export const OWNERSHIP_CALL_TIMEOUT_MS = 1_500;

export function formatOwnershipRecordKey(shard: string): string {
  return `duties/${shard}`;
}

export function formatOwnershipLockKey(shard: string): string {
  return `duties-held/${shard}`;
}

/** Sends the store call of a step. The claim then waits for the reply with the new call id. */
export function sendStep(
  state: EntryState,
  claim: OwnershipClaimRow,
  nowMs: number,
  callId: string,
  step: OwnershipClaimStep,
  isReadBack: boolean,
): void {
  const next = { ...claim, step, isReadBack, callId, sentMs: nowMs };
  state.ownershipClaims.set(next);
  state.outbox.append({
    kind: 'callStore',
    callId,
    call: buildStepCall(state, next),
    timeoutMs: OWNERSHIP_CALL_TIMEOUT_MS,
  });
}

/** Builds the record that this entry writes when it acquires or releases the shard. */
export function buildOwnershipRecord(state: EntryState, claim: OwnershipClaimRow): OwnershipRecord {
  const { info } = state.self;
  const isRelease = claim.step === 'releasing-record';
  const epoch = isRelease ? (claim.record?.epoch ?? 0) : (claim.record?.epoch ?? 0) + 1;
  return {
    ownerId: info.id,
    ownerAddress: info.address,
    epoch,
    graceMs: claim.graceMs,
    released: isRelease,
    token: isRelease ? `${claim.token}/released` : claim.token,
  };
}

function buildStepCall(state: EntryState, claim: OwnershipClaimRow): StoreCall {
  const recordKey = formatOwnershipRecordKey(claim.id);
  const lockKey = formatOwnershipLockKey(claim.id);
  switch (claim.step) {
    case 'holding-key':
      if (claim.isReadBack) return { op: 'read', key: lockKey };
      return {
        op: 'write',
        key: lockKey,
        expectedVersion: 0,
        value: { ownerId: state.self.info.id, token: claim.token },
        ...(claim.leaseId === undefined ? {} : { leaseId: claim.leaseId }),
      };
    case 'writing-record':
    case 'releasing-record':
      if (claim.isReadBack) return { op: 'read', key: recordKey };
      return {
        op: 'write',
        key: recordKey,
        expectedVersion: claim.recordVersion,
        value: buildOwnershipRecord(state, claim),
      };
    case 'deleting':
      return { op: 'revokeLease', leaseId: claim.leaseId ?? '' };
    default:
      return { op: 'grantLease', ttlMs: OWNERSHIP_LEASE_MS };
  }
}
