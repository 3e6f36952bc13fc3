import { isTaskOpen } from '../../src/model/task.ts';
import { ERROR_ANSWERS } from '../../src/base/common/errors.ts';
import type { Fault } from './faults.ts';
import { MatrixRun } from './matrixRun.ts';
import type { Step } from './steps.ts';

const SEED = 4_711;
const STEP_LIMIT_MS = 15_000;
/** Takeover, a lease that expires with its margin, and the longest backoff of starts. */
const HEAL_LIMIT_MS = 120_000;
/** After the work, so that a late effect of the fault is still checked. */
const AFTER_MS = 4_000;

export interface CellOptions {
  readonly seed?: number;
  /** Work of the job alone at full speed. */
  readonly workMs?: number;
}

/** Brings a new world to the step, injects the faults and heals them. Returns how the work ended. */
export function runCell(step: Step, faults: readonly Fault[], options: CellOptions = {}): string {
  const run = MatrixRun.create(options.seed ?? SEED, options.workMs);
  step.start(run);
  run.waitFor(() => step.isAt(run), STEP_LIMIT_MS, `the step ${step.name}`);
  run.requestChecks.healthySinceMs = undefined;
  for (const fault of faults) {
    const heal = fault.inject(run);
    run.run(fault.durationMs);
    heal();
  }
  run.restartExited();
  run.world.losesAttempts = false;
  run.requestChecks.healthySinceMs = run.world.clock.now;
  run.waitFor(() => isDone(run), HEAL_LIMIT_MS, 'the end of the work');
  run.stopBackground();
  run.run(AFTER_MS);
  return describeEnd(run);
}

function isDone(run: MatrixRun): boolean {
  run.restartExited();
  const { world, submitCall, operatorCall } = run;
  const isWaiting = [...world.requests.values()].some(
    ({ answer, isBroken, isGone, sentMs }) =>
      answer === undefined && !isBroken && !isGone && world.clock.now - sentMs > 1_000,
  );
  const isUnanswered =
    operatorCall !== undefined &&
    !run.isEntryLost(run.operatorEntry) &&
    !world.operatorAnswers.has(operatorCall);
  if (isWaiting || isUnanswered || run.owner === undefined) return false;
  if (submitCall === undefined) return true;
  if (run.jobId !== undefined) return run.task !== undefined && !isTaskOpen(run.task);
  if (world.getFailure(submitCall) !== undefined) return true;
  // The connection broke with its entry: the caller submits again with the same idempotency key.
  if (run.isEntryLost(run.submitEntry)) run.submitJob();
  return false;
}

/** Names how the work ended; throws when a refusal is not true. */
function describeEnd(run: MatrixRun): string {
  const { world, submitCall, task } = run;
  if (submitCall === undefined) return 'answered';
  const failure = world.getFailure(submitCall);
  if (failure !== undefined) {
    const { ran } = ERROR_ANSWERS[failure as keyof typeof ERROR_ANSWERS];
    if (ran === 'no' && world.listStarts().length > 0)
      throw new Error(`P6: the job was refused as ${failure} but ran`);
    return `refused as ${failure}`;
  }
  const phase = task?.phase ?? 'absent';
  const isAllowed =
    phase === 'finished' ||
    (phase === 'cancelled' && run.isCancelled) ||
    (phase === 'failed' && run.hasFailedStarts);
  if (!isAllowed) throw new Error(`the job is ${phase}`);
  return phase;
}
