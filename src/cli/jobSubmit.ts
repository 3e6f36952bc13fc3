import { readFileSync } from 'node:fs';
import { CommandError, EXIT_INVALID, printJson, printLine } from './output.ts';
import type { JobOptions } from './queueClient.ts';
import { getJobAddress, submitJob } from './queueClient.ts';

/** `job submit <file>`: submits the job of steps in a JSON file. The entry validates it. */
export async function runJobSubmit(path: string, options: JobOptions): Promise<void> {
  const job = getJobAddress(options);
  let body: unknown;
  try {
    body = JSON.parse(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new CommandError(`${path}: ${(error as Error).message}`, EXIT_INVALID);
  }
  await submitJob(job, body);
  if (options.json === true) printJson({ jobId: job.id, accepted: true });
  else printLine(`${job.id} accepted`);
}
