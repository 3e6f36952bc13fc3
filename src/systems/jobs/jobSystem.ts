import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { JobCall, JsonAnswer } from '../../model/effects.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { JobCallRow } from '../../model/ledger.ts';
import { jobCallSchema } from '../../model/jobCall.ts';
import type { PeerReply } from '../../model/peer.ts';
import { findHeldOwnership } from '../shardOwnership/shards.ts';
import { parseJobShard } from './jobId.ts';
import { answerOwnedCall, parseSubmission } from './ownerJobs.ts';

/** A call that is not complete after this time is answered with a failure. */
const CALL_TIMEOUT_MS = 10_000;
/** Shorter at the owner, so that its failure reaches the entry that forwarded the call. */
const OWNER_TIMEOUT_MS = 6_000;
const PEER_TIMEOUT_MS = 8_000;
const RETRY_DELAY_MS = 250;

/**
 * Handles job calls of callers and of other entries: the owner of the shard executes them, other
 * entries forward them to the owner.
 * Reads `jobCall`, `peerCall`, `peerReply`, `duties`, `tasks`. Writes `jobCalls`, `pendingChanges`.
 * Runs each tick after the ledger.
 */
export class JobSystem extends System<EntryState> {
  override readonly name = 'job';

  private constructor() {
    super();
  }

  static create(): JobSystem {
    return new JobSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { callId, call } of state.inbox.list('jobCall'))
      this.receive(state, tick, callId, call, 'caller');
    for (const { callId, call } of state.inbox.list('peerCall')) {
      if (call.kind === 'job') this.receivePeer(state, tick, callId, call.call);
    }
    for (const { callId, reply } of state.inbox.list('peerReply')) {
      const row = [...state.jobCalls.values()].find((candidate) => candidate.peerCallId === callId);
      if (row !== undefined) this.handlePeerReply(state, tick, row, reply);
    }
    for (const row of state.jobCalls.list()) this.advance(state, tick, row);
  }

  private receivePeer(state: EntryState, tick: Tick, callId: string, value: unknown): void {
    parseValue(jobCallSchema, value).caseOf({
      Left: () => {
        const failure = createFailure('bad_request', 'the peer call is not a valid job call');
        state.outbox.append({ kind: 'answerPeer', callId, reply: { kind: 'failure', failure } });
      },
      Right: (call) => {
        this.receive(state, tick, callId, call, 'peer');
      },
    });
  }

  private receive(
    state: EntryState,
    tick: Tick,
    id: string,
    call: JobCall,
    origin: JobCallRow['origin'],
  ): void {
    const addCall = (shard: string, jobId: string): void => {
      state.jobCalls.set({
        id,
        origin,
        shard,
        jobId,
        call,
        receivedMs: tick.now,
        phase: 'new',
        peerCallId: undefined,
        notBeforeMs: tick.now,
        isInDoubt: false,
      });
    };
    if (state.self.phase === 'starting') {
      // Without the configuration every pool would be rejected as unknown.
      const kind = origin === 'peer' ? 'not_owner' : 'no_owner';
      const failure = createFailure(kind, 'this entry has not read the configuration yet');
      this.answer(state, { id, origin }, { kind: 'failure', failure });
      return;
    }
    if (call.kind === 'submit') {
      parseSubmission(state, call.submission).caseOf({
        Left: (failure) => {
          this.answer(state, { id, origin }, { kind: 'failure', failure });
        },
        Right: ({ shard, jobId }) => {
          addCall(shard, jobId);
        },
      });
      return;
    }
    const shard = parseJobShard(call.jobId);
    if (shard === undefined || !state.duties.has(shard)) {
      const failure = createFailure('job_unknown', `unknown job ${call.jobId}`);
      this.answer(state, { id, origin }, { kind: 'failure', failure });
      return;
    }
    addCall(shard, call.jobId);
  }

  private advance(state: EntryState, tick: Tick, row: JobCallRow): void {
    if (row.phase === 'forwarded') {
      this.checkTimeout(state, tick, row, CALL_TIMEOUT_MS);
      return;
    }
    if (findHeldOwnership(state, row.shard) !== undefined) {
      this.advanceOwned(state, tick, row);
      return;
    }
    if (row.phase === 'pending') {
      // The entry lost ownership of the shard while the change was pending.
      this.answerFailure(state, row, this.createOwnerLostFailure(row));
      return;
    }
    if (row.origin === 'peer') {
      this.answerFailure(
        state,
        row,
        createFailure('not_owner', `this entry does not own ${row.shard}`),
      );
      return;
    }
    this.forward(state, tick, row);
  }

  private createOwnerLostFailure(row: JobCallRow): Failure {
    return row.call.kind === 'status'
      ? createFailure('no_owner', `the owner of ${row.shard} is changing`)
      : createFailure('outcome_unknown', `the owner of ${row.shard} changed during the write`);
  }

  private advanceOwned(state: EntryState, tick: Tick, row: JobCallRow): void {
    const answer = answerOwnedCall(state, row, tick.now);
    if (answer !== undefined) {
      state.jobCalls.remove(row.id);
      this.answer(state, row, answer);
      return;
    }
    if (row.phase !== 'pending') state.jobCalls.update(row.id, { phase: 'pending' });
    const untilMs = row.receivedMs + OWNER_TIMEOUT_MS;
    if (tick.now < untilMs) {
      tick.wakeAt(untilMs);
      return;
    }
    this.handleUnconfirmed(state, row);
  }

  /** Removes a change that was never sent. A change that was sent may still take effect. */
  private handleUnconfirmed(state: EntryState, row: JobCallRow): void {
    const pending = state.pendingChanges.get(row.jobId);
    const callsOfJob = [...state.jobCalls.values()].filter((other) => other.jobId === row.jobId);
    const isSubmissionUnsent = row.call.kind === 'submit' && pending?.segmentSeq === undefined;
    const isCancelNotQueued = row.call.kind === 'cancel' && !this.isCancelPending(state, row.jobId);
    if (isSubmissionUnsent && callsOfJob.length === 1) state.pendingChanges.remove(row.jobId);
    const isNotExecuted =
      (isSubmissionUnsent && callsOfJob.length === 1 && !row.isInDoubt) || isCancelNotQueued;
    this.answerFailure(
      state,
      row,
      isNotExecuted
        ? createFailure('store_unavailable', 'the store does not confirm writes')
        : createFailure('outcome_unknown', 'the write was sent but not confirmed'),
    );
  }

  private isCancelPending(state: EntryState, jobId: string): boolean {
    const change = state.pendingChanges.get(jobId)?.change;
    if (change?.kind !== 'put') return false;
    return change.task.phase === 'cancelled' || change.task.stopReason === 'cancelled';
  }

  private forward(state: EntryState, tick: Tick, row: JobCallRow): void {
    if (this.checkTimeout(state, tick, row, CALL_TIMEOUT_MS)) return;
    if (tick.now < row.notBeforeMs) {
      tick.wakeAt(row.notBeforeMs);
      return;
    }
    const address = state.duties.get(row.shard)?.ownerAddress;
    if (address === undefined || address === state.self.info.address) {
      state.jobCalls.update(row.id, { notBeforeMs: tick.now + RETRY_DELAY_MS });
      tick.wakeAt(tick.now + RETRY_DELAY_MS);
      return;
    }
    const peerCallId = `job/${tick.random.takeId()}`;
    state.jobCalls.update(row.id, { phase: 'forwarded', peerCallId });
    state.outbox.append({
      kind: 'callPeer',
      callId: peerCallId,
      address,
      call: { kind: 'job', shard: row.shard, call: row.call },
      timeoutMs: Math.min(PEER_TIMEOUT_MS, row.receivedMs + CALL_TIMEOUT_MS - tick.now),
    });
    tick.wakeAt(row.receivedMs + CALL_TIMEOUT_MS);
  }

  /**
   * Answers a call that has timed out. The failure says that the call was not executed only when no
   * copy of it can have reached an owner.
   */
  private checkTimeout(state: EntryState, tick: Tick, row: JobCallRow, timeoutMs: number): boolean {
    const untilMs = row.receivedMs + timeoutMs;
    if (tick.now < untilMs) {
      tick.wakeAt(untilMs);
      return false;
    }
    const isInDoubt = (row.isInDoubt || row.phase === 'forwarded') && row.call.kind !== 'status';
    this.answerFailure(
      state,
      row,
      isInDoubt
        ? createFailure('outcome_unknown', `the owner of ${row.shard} has not answered`)
        : createFailure('no_owner', `no owner of ${row.shard} can be reached`),
    );
    return true;
  }

  private handlePeerReply(
    state: EntryState,
    tick: Tick,
    row: JobCallRow,
    reply: PeerReply | undefined,
  ): void {
    if (reply?.kind === 'json') {
      state.jobCalls.remove(row.id);
      this.answer(state, row, { kind: 'value', value: reply.value });
      return;
    }
    if (reply?.kind === 'failure' && reply.failure.kind !== 'not_owner') {
      // An earlier copy may have been executed although the last one was not.
      const isOutcomeUnknown = row.isInDoubt && reply.failure.kind === 'store_unavailable';
      const failure = isOutcomeUnknown
        ? createFailure('outcome_unknown', reply.failure.message)
        : reply.failure;
      this.answerFailure(state, row, failure);
      return;
    }
    state.jobCalls.update(row.id, {
      phase: 'backing-off',
      peerCallId: undefined,
      notBeforeMs: tick.now + RETRY_DELAY_MS,
      isInDoubt: row.isInDoubt || reply === undefined,
    });
  }

  private answerFailure(state: EntryState, row: JobCallRow, failure: Failure): void {
    state.jobCalls.remove(row.id);
    this.answer(state, row, { kind: 'failure', failure });
  }

  private answer(
    state: EntryState,
    row: Pick<JobCallRow, 'id' | 'origin'>,
    answer: JsonAnswer,
  ): void {
    if (answer.kind === 'failure')
      state.counters.add('job_refusals', { reason: answer.failure.kind });
    if (row.origin === 'caller') {
      state.outbox.append({ kind: 'answerJob', callId: row.id, answer });
      return;
    }
    const reply: PeerReply =
      answer.kind === 'value'
        ? { kind: 'json', value: answer.value }
        : { kind: 'failure', failure: answer.failure };
    state.outbox.append({ kind: 'answerPeer', callId: row.id, reply });
  }
}
