import { CommandError, printJson, printLine } from './output.ts';
import type { JobOptions } from './queueClient.ts';
import { getJobAddress, watchJob } from './queueClient.ts';

/** `job watch`: prints each phase of a job until it ends. Fails unless the job completes. */
export async function runJobWatch(options: JobOptions): Promise<void> {
  const job = getJobAddress(options);
  const finalPhase = await watchJob(job, (phase) => {
    if (options.json === true) printJson({ jobId: job.id, phase });
    else printLine(`${job.id} ${phase}`);
  });
  if (finalPhase !== 'completed') throw new CommandError(`job ${job.id} ended as ${finalPhase}`);
}
