import type { EntryState } from '../../model/entryState.ts';
import type { DutyClaimRow, DutyRecord, DutyStep } from '../../model/ledger.ts';
import type { StoreCall } from '../../model/store.ts';

export const DUTY_LEASE_MS = 6_000;
export const DUTY_CALL_TIMEOUT_MS = 1_500;

export function formatRecordKey(shard: string): string {
  return `duties/${shard}`;
}

export function formatHeldKey(shard: string): string {
  return `duties-held/${shard}`;
}

/** Sends the store call of a step; the claim waits for the answer with the new call id. */
export function sendStep(
  state: EntryState,
  claim: DutyClaimRow,
  nowMs: number,
  callId: string,
  step: DutyStep,
  isReadBack: boolean,
): void {
  const next = { ...claim, step, isReadBack, callId, sentMs: nowMs };
  state.dutyClaims.set(next);
  state.outbox.append({
    kind: 'callStore',
    callId,
    call: buildStepCall(state, next),
    timeoutMs: DUTY_CALL_TIMEOUT_MS,
  });
}

/** Record that this entry writes when it takes or releases the duty. */
export function buildRecord(state: EntryState, claim: DutyClaimRow): DutyRecord {
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

function buildStepCall(state: EntryState, claim: DutyClaimRow): StoreCall {
  const recordKey = formatRecordKey(claim.id);
  const heldKey = formatHeldKey(claim.id);
  switch (claim.step) {
    case 'holding-key':
      if (claim.isReadBack) return { op: 'read', key: heldKey };
      return {
        op: 'write',
        key: heldKey,
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
        value: buildRecord(state, claim),
      };
    case 'deleting':
      return { op: 'revokeLease', leaseId: claim.leaseId ?? '' };
    default:
      return { op: 'grantLease', ttlMs: DUTY_LEASE_MS };
  }
}
