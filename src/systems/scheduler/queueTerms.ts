import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { Queue, QueueTerms } from '../../model/scheduler/queueConfiguration.ts';
import type { JobRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { recordJobChange } from './jobChanges.ts';

/** Returns the scheduling parameters of a queue. */
export function getQueueTerms(queue: Queue): QueueTerms {
  const { service, priority, attempts, stretch, latencyObjectiveMs, advice } = queue;
  return {
    service,
    priority,
    attempts,
    stretch,
    latencyObjectiveMs,
    ...(advice === undefined ? {} : { advice }),
  };
}

/** Returns the service whose workers run the tasks of a job. */
export function getService({ terms, job }: JobRow): string {
  return terms?.service ?? job.service;
}

/**
 * Gives a job the parameters that its queue has in the configuration. A removed queue changes
 * nothing: an accepted job runs on under the last parameters. They are stored, because the next
 * owner may never see a configuration with the queue.
 */
export function updateJobTerms(state: SchedulerState, job: JobRow): void {
  const queue = state.operator.queues.get(job.job.queue);
  if (queue === undefined || isFinalPhase(job.phase)) return;
  const terms = getQueueTerms(queue);
  if (job.terms !== undefined && formatTerms(terms) === formatTerms(job.terms)) return;
  state.jobs.update(job.id, { terms });
  recordJobChange(state, job.id);
}

/** Formats the parameters for a comparison, in an order that does not depend on their source. */
function formatTerms(terms: QueueTerms): string {
  const { service, priority, attempts, stretch, latencyObjectiveMs, advice } = terms;
  const policy = [advice?.decideMs, advice?.perWorkerMs, advice?.validMs];
  return JSON.stringify([service, priority, attempts, stretch, latencyObjectiveMs, ...policy]);
}
