import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { recordFollowedOwner } from './earlierGrants.ts';
import { logEvent } from './storeCalls.ts';

/** Ends this entry's ownership in memory: clears the owner's tables and closes its agent links. */
export function resetToFollower(state: SchedulerState, reason: string, now: number): void {
  const { ownership } = state;
  logEvent(state, 'warn', 'ownership_lost', { epoch: ownership.epoch, reason });
  state.counters.add('ownership_losses', { reason });
  // An entry that only claims knows the epoch of another owner, which may be alive.
  if (ownership.role !== 'claiming') {
    const { epoch, earlierGrantsEndAt } = ownership;
    ownership.endedEpoch = epoch;
    recordFollowedOwner(ownership, { epoch, at: now, grantsEndAt: earlierGrantsEndAt });
  }
  ownership.role = 'follower';
  ownership.statusesCurrentAt = ownership.confirmedAt;
  ownership.leaseId = '';
  ownership.checkCallId = '';
  ownership.recordUpdate.callId = '';
  ownership.canGrantInOutage = false;
  ownership.claimAt = now;
  ownership.lastConfirmedUpdateAt = Number.NEGATIVE_INFINITY;
  for (const agent of state.agents.values())
    state.outbox.append({ kind: 'closeAgent', agentId: agent.id });
  for (const table of [
    state.jobs,
    state.tasks,
    state.runs,
    state.moves,
    state.workers,
    state.agents,
    state.leaseWaits,
    state.servingLoads,
    state.advice,
    state.advisedSteps,
    state.adviceCalls,
    state.followers,
  ])
    table.clear();
  state.commit.callId = '';
  state.commit.jobs = [];
  state.deletion.callId = '';
  state.intake.isWatching = false;
  state.intake.listAt = Number.POSITIVE_INFINITY;
  state.reportedEnds.length = 0;
  state.stepTimes.clear();
  for (const set of [
    state.newlyReadyTasks,
    state.dirtyJobs,
    state.jobsToAdvance,
    state.changedStatuses,
  ])
    set.clear();
}
