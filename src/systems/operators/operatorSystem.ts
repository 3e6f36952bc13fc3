import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { PeerCall } from '../../model/peer.ts';
import { isSuspect } from '../membership/endpointHealth.ts';
import { buildExplanation, hasSubject } from './explanation.ts';

const OWNER_TIMEOUT_MS = 1_500;

/**
 * Answers operators' questions.
 * Reads `operatorCall`, `peerCall`, `peerReply` and all tables. Writes `calls`.
 * Runs each turn. A subject that this entry does not know is asked of the owners of the shards.
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
      if (pending?.owner !== this.name) continue;
      state.calls.remove(callId);
      const value =
        reply?.kind === 'json'
          ? reply.value
          : buildExplanation(state, pending.subject, tick.now, 'the owner does not answer');
      this.answer(state, pending.purpose, value);
    }
  }

  private explain(state: EntryState, tick: Tick, callId: string, subject: string): void {
    const owner = [...state.duties.values()].find(
      (duty) => duty.ownerAddress !== undefined && duty.ownerId !== state.self.info.id,
    );
    if (hasSubject(state, subject) || owner?.ownerAddress === undefined) {
      this.answer(state, callId, buildExplanation(state, subject, tick.now));
      return;
    }
    const peerCallId = `${this.name}/${callId}`;
    state.calls.set({
      id: peerCallId,
      owner: this.name,
      purpose: callId,
      subject,
      sentMs: tick.now,
    });
    state.outbox.append({
      kind: 'callPeer',
      callId: peerCallId,
      address: owner.ownerAddress,
      call: { kind: 'explain', shard: owner.id, subject },
      timeoutMs: OWNER_TIMEOUT_MS,
    });
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

/** What `status` shows. Ages are in milliseconds. */
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
