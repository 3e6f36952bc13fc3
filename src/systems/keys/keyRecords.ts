import type { EntryState } from '../../model/entryState.ts';
import type { KeyRecord, KeyRow } from '../../model/key.ts';
import type { PeerCall } from '../../model/peer.ts';
import { DEDUPLICATION_WINDOW_MS } from './keyReplicas.ts';

type OutcomeCall = Extract<PeerCall, { kind: 'settleKey' }>;

/** Limit of the responses stored by one replica; beyond it the oldest are evicted and become `unknown`. */
export const MAX_TOTAL_RESPONSE_BYTES = 16 * 1024 * 1024;
/** Longest deadline of a request. An open claim is retained for this time in addition to the window. */
const MAX_REQUEST_DEADLINE_MS = 600_000;

/** Inserts or replaces a record as the newest one and updates the size of the stored responses. */
export function setKeyRow(state: EntryState, row: KeyRow): void {
  removeKeyRow(state, row.id);
  state.keys.set(row);
  state.keyReplicaState.responseBytes += countResponseBytes(row);
  if (state.keyReplicaState.responseBytes > MAX_TOTAL_RESPONSE_BYTES) evictResponses(state);
}

export function removeKeyRow(state: EntryState, key: string): void {
  const row = state.keys.remove(key);
  if (row !== undefined) state.keyReplicaState.responseBytes -= countResponseBytes(row);
}

/** Applies the outcome of a request to its record. */
export function applyKeyOutcome(state: EntryState, nowMs: number, call: OutcomeCall): void {
  const row = state.keys.get(call.key);
  if (row !== undefined && row.requestId !== call.requestId) {
    state.counters.add('late_key_settlements');
    return;
  }
  if (call.outcome === 'notRun') {
    removeKeyRow(state, call.key);
    return;
  }
  const fingerprint = row?.fingerprint ?? call.fingerprint;
  if (fingerprint === undefined) return;
  setKeyRow(state, {
    id: call.key,
    fingerprint,
    requestId: call.requestId,
    claimant: row?.claimant ?? '',
    state: call.outcome,
    response: call.response,
    changedMs: nowMs,
  });
}

/** Adds a record handed off by another replica, unless this replica has a more complete one. */
export function mergeKeyRecord(state: EntryState, nowMs: number, record: KeyRecord): void {
  const { ageMs, ...fields } = record;
  const existing = state.keys.get(record.id);
  const isNewer =
    existing === undefined ||
    (existing.requestId === record.requestId &&
      existing.state === 'claimed' &&
      record.state !== 'claimed');
  if (isNewer) setKeyRow(state, { ...fields, changedMs: nowMs - ageMs });
}

export function toKeyRecord(row: KeyRow, nowMs: number): KeyRecord {
  const { changedMs, ...fields } = row;
  return { ...fields, ageMs: nowMs - changedMs };
}

/** Removes records that are older than the deduplication window. */
export function removeExpiredKeys(state: EntryState, nowMs: number): void {
  for (const row of state.keys.values()) {
    const retentionMs =
      row.state === 'claimed'
        ? DEDUPLICATION_WINDOW_MS + MAX_REQUEST_DEADLINE_MS
        : DEDUPLICATION_WINDOW_MS;
    if (nowMs - row.changedMs >= retentionMs) removeKeyRow(state, row.id);
    else if (row.state !== 'claimed') return;
  }
}

/** Evicts the oldest responses but keeps their records, so that a repeat is still recognized. */
function evictResponses(state: EntryState): void {
  for (const row of state.keys.values()) {
    if (state.keyReplicaState.responseBytes <= MAX_TOTAL_RESPONSE_BYTES) return;
    if (row.response === undefined) continue;
    state.counters.add('key_answers_displaced');
    state.keyReplicaState.responseBytes -= countResponseBytes(row);
    state.keys.update(row.id, { state: 'unknown', response: undefined });
  }
}

function countResponseBytes(row: KeyRow): number {
  return row.response?.body.byteLength ?? 0;
}
