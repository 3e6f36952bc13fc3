import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState } from '../../model/agentState.ts';

/** Names what still has to finish before the process may exit. */
export type AgentBlockerCheck = (state: AgentState, nowMs: number) => string[];

/** Entries learn within 2 s that the endpoints are leaving; until then the agent rejects attempts. */
const MIN_NOTICE_MS = 2_000;
/** Time for the last answers to leave the process. */
const ANSWER_FLUSH_MS = 100;
/** Without an entry that answers, the agent does not wait longer for the acknowledgement. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 3_000;
/** Period of the check while something blocks the exit. */
const CHECK_PERIOD_MS = 100;

/** Attempts in progress, answers under way and the notice to the entries. */
export function listAttemptBlockers(state: AgentState, nowMs: number): string[] {
  const blockers: string[] = [];
  if ([...state.attemptsByPhase.keys()].length > 0) blockers.push('attempts');
  if (nowMs - state.lastAnswerMs < ANSWER_FLUSH_MS) blockers.push('answers');
  const stopMs = state.self.stopRequestedMs ?? nowMs;
  if (state.endpoints.size > 0 && nowMs - stopMs < MIN_NOTICE_MS) blockers.push('notice');
  return blockers;
}

/** The notice that the endpoints are leaving, until an entry has answered it. */
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
 * Runs of a worker whose instance stops with the agent. A record disappears from the status when the
 * owner lets the worker forget it, which it does once the ledger holds the run's end and checkpoint.
 */
export function listRunBlockers(state: AgentState): string[] {
  const hasRuns = (state.worker?.status.runs.length ?? 0) > 0;
  return state.self.stopsTasks && hasRuns ? ['runs'] : [];
}

/** Everything that an agent has to finish. */
export const AGENT_BLOCKER_CHECKS: readonly AgentBlockerCheck[] = [
  listAttemptBlockers,
  listAnnouncementBlockers,
  listRunBlockers,
];

/**
 * Leads an agent through its graceful shutdown.
 * Reads `stopRequested` and what the blockers read. Writes `self`.
 * Runs each turn, after all other systems.
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
    const names = this.blockerChecks.flatMap((list) => list(state, tick.now));
    if (names.length > 0 && tick.now - self.stopRequestedMs < self.stopBoundMs) {
      tick.wakeAt(tick.now + CHECK_PERIOD_MS);
      return;
    }
    self.phase = 'stopped';
    const level = names.length > 0 ? 'warn' : 'info';
    const afterMs = Math.round(tick.now - self.stopRequestedMs);
    const fields = { afterMs, unfinished: names.join(',') };
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
