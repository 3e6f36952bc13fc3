import { printJson, printLine } from './output.ts';
import type { JobOptions } from './queueClient.ts';
import { getJobAddress, readPhase } from './queueClient.ts';

/** `job status`: prints the phase of a job. */
export async function runJobStatus(options: JobOptions): Promise<void> {
  const job = getJobAddress(options);
  const phase = await readPhase(job);
  if (options.json === true) printJson({ jobId: job.id, phase });
  else printLine(`${job.id} ${phase}`);
}
