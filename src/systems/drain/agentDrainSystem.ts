import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState } from '../../model/agentState.ts';

/** Lists the names of what must finish before the process can exit. */
export type AgentBlockerCheck = (state: AgentState, nowMs: number) => string[];

/**
 * All entries are notified within 2 s that the endpoints are leaving. Until then the agent keeps
 * running and rejects attempts.
 */
const MIN_NOTICE_MS = 2_000;
/** Time to flush the last answers. */
const ANSWER_FLUSH_MS = 100;
/** Limits the wait for the acknowledgement when no entry answers. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 3_000;
/** Period of the check while something blocks the exit. */
const CHECK_PERIOD_MS = 100;

/** Lists attempts in progress, answers being sent and the time to notify the entries. */
export function listAttemptBlockers(state: AgentState, nowMs: number): string[] {
  const blockers: string[] = [];
  if ([...state.attemptsByPhase.keys()].length > 0) blockers.push('attempts');
  if (nowMs - state.lastAnswerMs < ANSWER_FLUSH_MS) blockers.push('answers');
  const stopMs = state.self.stopRequestedMs ?? nowMs;
  if (state.endpoints.size > 0 && nowMs - stopMs < MIN_NOTICE_MS) blockers.push('notice');
  return blockers;
}

/** Blocks the exit until an entry has acknowledged that the endpoints are leaving. */
export function listAnnouncementBlockers(state: AgentState, nowMs: number): string[] {
  const stopMs = state.self.stopRequestedMs ?? nowMs;
  const isAnnounced = [...state.links.values()].some(
    (link) =>
      link.sentAnnouncementVersion === state.announcementVersion &&
      link.lastReplyMs > stopMs &&
      link.pendingCallId === undefined,
  );
  return isAnnounced || nowMs - stopMs >= ACKNOWLEDGEMENT_TIMEOUT_MS ? [] : ['announcement'];
}

/**
 * Blocks the exit while a worker whose instance stops with the agent has runs. A run is removed
 * from the worker's status when the owner commands it, once the ledger holds the run's end and
 * checkpoint.
 */
export function listRunBlockers(state: AgentState): string[] {
  const hasRuns = (state.worker?.status.runs.length ?? 0) > 0;
  return state.self.stopsTasks && hasRuns ? ['runs'] : [];
}

/** All checks that delay the exit of an agent. */
export const AGENT_BLOCKER_CHECKS: readonly AgentBlockerCheck[] = [
  listAttemptBlockers,
  listAnnouncementBlockers,
  listRunBlockers,
];

/**
 * Drains an agent after a stop request and ends the process.
 * Reads `stopRequested` and what the blocker checks read. Writes `self`.
 * Runs each tick, after all other systems.
 */
export class AgentDrainSystem extends System<AgentState> {
  override readonly name = 'agentDrain';

  private constructor(private readonly blockerChecks: readonly AgentBlockerCheck[]) {
    super();
  }

  static create(blockers: readonly AgentBlockerCheck[] = AGENT_BLOCKER_CHECKS): AgentDrainSystem {
    return new AgentDrainSystem(blockers);
  }

  override run(state: AgentState, tick: Tick): void {
    const { self } = state;
    if (state.inbox.list('stopRequested').length > 0 && self.stopRequestedMs === undefined) {
      self.phase = 'leaving';
      self.stopRequestedMs = tick.now;
    }
    if (self.phase !== 'leaving' || self.stopRequestedMs === undefined) return;
    const blockerNames = this.blockerChecks.flatMap((list) => list(state, tick.now));
    if (blockerNames.length > 0 && tick.now - self.stopRequestedMs < self.stopBoundMs) {
      tick.wakeAt(tick.now + CHECK_PERIOD_MS);
      return;
    }
    self.phase = 'stopped';
    const level = blockerNames.length > 0 ? 'warn' : 'info';
    const afterMs = Math.round(tick.now - self.stopRequestedMs);
    const fields = { afterMs, unfinished: blockerNames.join(',') };
    this.logUnfinishedAttempts(state);
    state.outbox.append({ kind: 'log', level, event: 'agent_stopped', fields });
    state.outbox.append({ kind: 'exit' });
  }

  private logUnfinishedAttempts(state: AgentState): void {
    for (const attempt of state.attempts.values()) {
      if (attempt.phase === 'done') continue;
      const fields = { attempt: attempt.id };
      state.outbox.append({ kind: 'log', level: 'warn', event: 'attempt_cut_off', fields });
    }
  }
}
