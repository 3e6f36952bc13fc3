import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { KeyHandoffRow, KeyMember, KeyRecord } from '../../model/key.ts';
import { sendKeyCall } from './keyCalls.ts';
import { DEDUPLICATION_WINDOW_MS, listKeyReplicas, listRegionMembers } from './keyReplicas.ts';
import { toKeyRecord } from './keyRecords.ts';

/** Limit of the response bytes in one message. */
const MAX_BATCH_BYTES = 512 * 1024;
const MAX_BATCH_RECORDS = 2_000;
const HANDOFF_RESEND_PERIOD_MS = 500;
const HANDOFF_TIMEOUT_MS = 15_000;

/**
 * Hands key records off to the new replicas when the entries change or this entry stops.
 * Reads `entries`, `peerReply`. Writes `keyReplicaState`, `keyHandoffs`, `keys`.
 * Runs each tick before the claims, so that these use the current replicas.
 */
export class KeyHandoffSystem extends System<EntryState> {
  override readonly name = 'keyHandOver';

  private constructor() {
    super();
  }

  static create(): KeyHandoffSystem {
    return new KeyHandoffSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { callId, reply } of state.inbox.list('peerReply'))
      if (reply?.kind === 'done') state.keyHandoffs.remove(callId);
    const previous = state.keyReplicaState.membershipViews.at(-1)?.members;
    const members = listRegionMembers(state);
    if (previous === undefined || !isSameMembership(previous, members)) {
      this.recordMembershipView(state, tick, members);
      if (previous !== undefined) this.handleMembershipChange(state, tick, previous, members);
    }
    this.queueFinalHandoff(state, tick, members);
    for (const row of state.keyHandoffs.list()) this.sendHandoff(state, tick, row);
  }

  private recordMembershipView(state: EntryState, tick: Tick, members: readonly KeyMember[]): void {
    const views = [...state.keyReplicaState.membershipViews, { sinceMs: tick.now, members }];
    const windowStartMs = tick.now - DEDUPLICATION_WINDOW_MS;
    const firstIndex = views.findLastIndex((view) => view.sinceMs <= windowStartMs);
    state.keyReplicaState.membershipViews = firstIndex > 0 ? views.slice(firstIndex) : views;
  }

  private handleMembershipChange(
    state: EntryState,
    tick: Tick,
    previous: readonly KeyMember[],
    members: readonly KeyMember[],
  ): void {
    const removed = new Set(previous.map(({ id }) => id));
    for (const { id } of members) removed.delete(id);
    for (const row of state.keys.list()) {
      // The entry that handled the request can no longer report its outcome.
      if (row.state === 'claimed' && removed.has(row.claimant))
        state.keys.update(row.id, { state: 'unknown' });
    }
    this.queueRecordsForNewReplicas(state, tick, previous, members);
  }

  /** Hands off all records once no request, outcome or replica write of this entry can change them. */
  private queueFinalHandoff(state: EntryState, tick: Tick, members: readonly KeyMember[]): void {
    const { self, keyReplicaState } = state;
    if (keyReplicaState.isHandedOff || self.phase !== 'leaving' || !self.isFrontClosed) return;
    if (state.requests.size > 0 || state.keyOutcomes.size > 0 || state.keyReplicaWrites.size > 0)
      return;
    keyReplicaState.isHandedOff = true;
    const others = members.filter(({ id }) => id !== self.info.id);
    this.queueRecordsForNewReplicas(state, tick, members, others);
    const coveredMs = tick.now - (keyReplicaState.membershipViews[0]?.sinceMs ?? tick.now);
    for (const { id } of others) this.queueBatch(state, tick, id, [], coveredMs);
  }

  private queueRecordsForNewReplicas(
    state: EntryState,
    tick: Tick,
    previous: readonly KeyMember[],
    members: readonly KeyMember[],
  ): void {
    const recordsByEntry = new Map<string, KeyRecord[]>();
    for (const row of state.keys.values()) {
      const previousReplicas = new Set(listKeyReplicas(row.id, previous).map(({ id }) => id));
      for (const { id } of listKeyReplicas(row.id, members)) {
        if (previousReplicas.has(id) || id === state.self.info.id) continue;
        const records = recordsByEntry.get(id) ?? [];
        records.push(toKeyRecord(row, tick.now));
        recordsByEntry.set(id, records);
      }
    }
    for (const [entryId, records] of recordsByEntry)
      for (const batch of buildBatches(records)) this.queueBatch(state, tick, entryId, batch);
  }

  private queueBatch(
    state: EntryState,
    tick: Tick,
    entryId: string,
    records: KeyRecord[],
    coveredMs?: number,
  ): void {
    state.counters.add('key_records_handed_over', {}, records.length);
    const id = `handKeys/${tick.random.takeId()}`;
    const call = { kind: 'handKeys' as const, records };
    state.keyHandoffs.set({
      id,
      entryId,
      call: coveredMs === undefined ? call : { ...call, coveredMs },
      createdMs: tick.now,
      nextSendMs: tick.now,
    });
  }

  private sendHandoff(state: EntryState, tick: Tick, row: KeyHandoffRow): void {
    const isExpired =
      tick.now - row.createdMs > HANDOFF_TIMEOUT_MS || !state.entries.has(row.entryId);
    if (isExpired) {
      state.counters.add('key_hand_overs_dropped');
      state.keyHandoffs.remove(row.id);
      return;
    }
    if (row.nextSendMs > tick.now) {
      tick.wakeAt(row.nextSendMs);
      return;
    }
    const nextSendMs = tick.now + HANDOFF_RESEND_PERIOD_MS;
    state.keyHandoffs.update(row.id, { nextSendMs });
    tick.wakeAt(nextSendMs);
    sendKeyCall(state, row.entryId, row.id, row.call);
  }
}

function isSameMembership(a: readonly KeyMember[], b: readonly KeyMember[]): boolean {
  return a.length === b.length && a.every(({ id }, index) => id === b[index]?.id);
}

function buildBatches(records: readonly KeyRecord[]): KeyRecord[][] {
  const batches: KeyRecord[][] = [];
  let bytes = Number.POSITIVE_INFINITY;
  for (const record of records) {
    const lastBatch = batches.at(-1);
    const size = record.response?.body.byteLength ?? 0;
    if (
      lastBatch === undefined ||
      bytes + size > MAX_BATCH_BYTES ||
      lastBatch.length >= MAX_BATCH_RECORDS
    ) {
      batches.push([record]);
      bytes = size;
    } else {
      lastBatch.push(record);
      bytes += size;
    }
  }
  return batches;
}
