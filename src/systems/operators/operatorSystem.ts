import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { PendingCallRow } from '../../model/call.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { ShardOwnershipRow } from '../../model/ledger.ts';
import type { PeerCall, PeerReply } from '../../model/peer.ts';
import { parseJobShard } from '../jobs/jobId.ts';
import { isSuspect } from '../membership/endpointHealth.ts';
import { buildExplanation, hasSubject, isExplained } from './explanation.ts';

const OWNER_CALL_TIMEOUT_MS = 1_500;
/**
 * System name of unanswered calls, which remain until the last reply for the same operator call.
 */
const UNANSWERED_CALL_SYSTEM = 'operator.silent';

type OwnedShardRow = ShardOwnershipRow & { readonly ownerAddress: string };

/** Lists one shard of each other owner, or only the subject's shard when the subject names one. */
function listOwners(state: EntryState, subject: string): OwnedShardRow[] {
  const shard = parseJobShard(subject);
  const isShardKnown = shard !== undefined && state.duties.has(shard);
  const byAddress = new Map<string, OwnedShardRow>();
  for (const ownership of state.duties.values()) {
    const { ownerAddress, ownerId } = ownership;
    if (ownerAddress === undefined || ownerId === state.self.info.id) continue;
    if (isShardKnown && ownership.id !== shard) continue;
    byAddress.set(ownerAddress, { ...ownership, ownerAddress });
  }
  return [...byAddress.values()];
}

/**
 * Answers `showConfig`, `status` and `explain` calls of operators.
 * Reads `operatorCall`, `peerCall`, `peerReply` and all tables. Writes `calls`.
 * Runs each tick. For a subject that is unknown to this entry, it calls the owner of the subject's
 * shard, or the owners of all shards when the subject names none.
 */
export class OperatorSystem extends System<EntryState> {
  override readonly name = 'operator';

  private constructor() {
    super();
  }

  static create(): OperatorSystem {
    return new OperatorSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { callId, call } of state.inbox.list('operatorCall')) {
      if (call.kind === 'showConfig') this.answer(state, callId, state.configuration.current);
      else if (call.kind === 'status') this.answer(state, callId, buildStatus(state, tick.now));
      else if (call.kind === 'explain') this.explain(state, tick, callId, call.subject);
    }
    for (const { callId, call } of state.inbox.list('peerCall')) {
      if (call.kind === 'explain') this.answerPeer(state, tick, callId, call);
    }
    for (const { callId, reply } of state.inbox.list('peerReply')) {
      const pending = state.calls.get(callId);
      if (pending?.system === this.name) this.handleReply(state, tick, pending, reply);
    }
  }

  /**
   * Forwards the first explanation with content; without one, the last reply completes the call.
   */
  private handleReply(
    state: EntryState,
    tick: Tick,
    pending: PendingCallRow,
    reply: PeerReply | undefined,
  ): void {
    const { id, purpose, subject } = pending;
    const listCalls = (system: string): PendingCallRow[] =>
      [...state.calls.values()].filter(
        (call) => call.system === system && call.purpose === purpose,
      );
    if (reply?.kind === 'json') state.calls.remove(id);
    else state.calls.update(id, { system: UNANSWERED_CALL_SYSTEM });
    const pendingCalls = listCalls(this.name);
    const unansweredCalls = listCalls(UNANSWERED_CALL_SYSTEM);
    const isKnown = reply?.kind === 'json' && isExplained(reply.value);
    if (!isKnown && pendingCalls.length > 0) return;
    for (const call of [...pendingCalls, ...unansweredCalls]) state.calls.remove(call.id);
    const note =
      unansweredCalls.length === 0
        ? undefined
        : `shard owners that did not answer: ${unansweredCalls.length}`;
    const value = isKnown ? reply.value : buildExplanation(state, subject, tick.now, note);
    this.answer(state, purpose, value);
  }

  private explain(state: EntryState, tick: Tick, callId: string, subject: string): void {
    const ownerships = hasSubject(state, subject) ? [] : listOwners(state, subject);
    if (ownerships.length === 0) {
      this.answer(state, callId, buildExplanation(state, subject, tick.now));
      return;
    }
    for (const { id: shard, ownerAddress: address } of ownerships) {
      const id = `${this.name}/${callId}/${shard}`;
      state.calls.set({ id, system: this.name, purpose: callId, subject, sentMs: tick.now });
      const call = { kind: 'explain', shard, subject } as const;
      const timeoutMs = OWNER_CALL_TIMEOUT_MS;
      state.outbox.append({ kind: 'callPeer', callId: id, address, call, timeoutMs });
    }
  }

  private answerPeer(
    state: EntryState,
    tick: Tick,
    callId: string,
    call: Extract<PeerCall, { kind: 'explain' }>,
  ): void {
    const value = buildExplanation(state, call.subject, tick.now);
    state.outbox.append({ kind: 'answerPeer', callId, reply: { kind: 'json', value } });
  }

  private answer(state: EntryState, callId: string, value: unknown): void {
    state.outbox.append({ kind: 'answerOperator', callId, answer: { kind: 'value', value } });
  }
}

/** Builds the output of `status`. Ages are in milliseconds. */
export function buildStatus(state: EntryState, nowMs: number): Record<string, unknown> {
  const { configuration, self } = state;
  const tasks: Record<string, number> = {};
  for (const task of state.tasks.values()) tasks[task.phase] = (tasks[task.phase] ?? 0) + 1;
  return {
    entry: self.info.id,
    phase: self.phase,
    revision: configuration.current.revision,
    confirmedAgeMs:
      configuration.confirmedSentMs === undefined
        ? null
        : Math.round(nowMs - configuration.confirmedSentMs),
    zonesOut: configuration.current.zonesOut,
    entries: [...state.entries.values()].map(({ id, zone, address }) => ({ id, zone, address })),
    endpoints: [...state.endpoints.values()].map((endpoint) => ({
      id: endpoint.id,
      service: endpoint.service,
      zone: endpoint.zone,
      draining: endpoint.draining,
      suspect: isSuspect(endpoint, nowMs),
      ejected: endpoint.ejectedUntilMs > nowMs,
      running: endpoint.load.running,
      waiting: endpoint.load.waiting,
    })),
    duties: [...state.duties.values()].map(({ id, phase, epoch, ownerId }) => ({
      shard: id,
      phase,
      epoch,
      owner: ownerId ?? null,
    })),
    tasks,
    requestsInProgress: state.requests.size,
  };
}
