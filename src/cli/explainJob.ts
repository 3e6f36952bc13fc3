import { request as sendRequest } from 'undici';
import { formatFaults, parseValue } from '../base/common/parse.ts';
import { EXPLAIN_PATH } from '../protocol/node/explanationFront.ts';
import type { JobExplanation } from '../model/scheduler/jobExplanation.ts';
import { jobExplanationSchema } from '../model/scheduler/jobExplanation.ts';
import { CommandError, EXIT_INVALID, printJson, printLine } from './output.ts';

/** Bounds the wait for an entry that does not answer; others answer from tables in a few ms. */
const CALL_TIMEOUT_MS = 5_000;

/** `explain job <id>`: prints why a job waits, the progress of its steps, and its moved runs. */
export async function runExplainJob(id: string, address: string, asJson: boolean): Promise<void> {
  if (!/^[^/\s]+:\d+$/.test(address))
    throw new CommandError(`--address ${address} does not have the form host:port`, EXIT_INVALID);
  const explanation = await requestExplanation(id, address);
  if (asJson) printJson(explanation);
  else for (const line of formatExplanation(explanation)) printLine(line);
  if (explanation.kind === 'unknown')
    throw new CommandError(`the owner ${explanation.entry} knows no job ${id}`);
  if (explanation.kind === 'elsewhere')
    throw new CommandError(
      `${explanation.entry} is not the scheduling owner; send the call to the owner`,
    );
}

async function requestExplanation(id: string, address: string): Promise<JobExplanation> {
  let value: unknown;
  try {
    const answer = await sendRequest(`http://${address}${EXPLAIN_PATH}${encodeURIComponent(id)}`, {
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    value = await answer.body.json();
  } catch (error) {
    throw new CommandError(`request to ${address} failed: ${(error as Error).message}`);
  }
  return parseValue(jobExplanationSchema, value).caseOf({
    Left: (faults) => {
      throw new CommandError(`${address} sent an invalid explanation: ${formatFaults(faults)}`);
    },
    Right: (explanation) => explanation,
  });
}

function formatExplanation(explanation: JobExplanation): string[] {
  if (explanation.kind === 'unknown') return [];
  if (explanation.kind === 'elsewhere') {
    const { phase, role, entry, owner, ownerAddress } = explanation;
    return [
      `job ${explanation.job}: ${phase ?? 'phase not known'} at ${entry} (${role})`,
      `owner: ${owner || 'id not known'}, link address ${ownerAddress || 'not known'}`,
    ];
  }
  const { job, phase, queue, ageMs, entry, why, steps, runs, moves, leftOut } = explanation;
  return [
    `job ${job}: ${phase}, queue ${queue}, accepted ${formatSeconds(ageMs)} s ago, owner ${entry}`,
    ...why.map((reason) => `  ${reason}`),
    ...steps.map(
      (step) =>
        `step ${step.id}: waiting ${step.waiting}, ready ${step.ready}, active ${step.active}, done ${step.done}${formatReason(step.why)}`,
    ),
    ...formatOmittedCount('steps', leftOut.steps),
    ...runs.map(
      (run) =>
        `run ${run.id}: ${run.phase} on ${run.worker} for ${formatSeconds(run.ageMs)} s, ${run.percent}% done, pace ${run.pacePercent}%${formatReason(run.why)}`,
    ),
    ...formatOmittedCount('runs', leftOut.runs),
    ...formatOmittedCount('older moves', leftOut.moves),
    ...moves.map(
      (move) =>
        `${formatSeconds(move.ageMs)} s ago: run ${move.id} off ${move.worker}: ${move.why}`,
    ),
  ];
}

function formatSeconds(ms: number): string {
  return (ms / 1_000).toFixed(1);
}

function formatReason(why: string): string {
  return why === '' ? '' : `; ${why}`;
}

function formatOmittedCount(itemName: string, count: number): string[] {
  return count === 0 ? [] : [`(${count} ${itemName} left out)`];
}
