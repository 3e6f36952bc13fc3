import { printJson, printLine } from './output.ts';
import type { JobOptions } from './queueClient.ts';
import { cancelJob, getJobAddress } from './queueClient.ts';

/** `job cancel`: cancels a job. An ended job keeps its phase. */
export async function runJobCancel(options: JobOptions): Promise<void> {
  const job = getJobAddress(options);
  await cancelJob(job);
  if (options.json === true) printJson({ jobId: job.id, accepted: true });
  else printLine(`${job.id} cancellation accepted`);
}
