import * as z from 'zod/mini';
import type { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { JobRow, SoakStep } from './rows.ts';

/** Label that some workers have and some steps require. */
export const SPECIAL_LABEL = 'large';
/** Runs of a task that may fail, as the configuration of the soak allows. */
export const ATTEMPTS = 3;
/** Shares of the jobs. */
const HOPELESS_SHARE = 0.05;
const SAVING_SHARE = 0.3;
const LABEL_SHARE = 0.15;
/** Shares of the jobs with tasks that last. */
const LASTING_AFTER_SHARE = 0.3;
const LASTING_FAILS_SHARE = 0.3;

/** What the specification of a job tells the stand-in of the worker, by step. */
const taskTextSchema = z.array(
  z.object({
    workMs: z.int(),
    /** So many runs of a task end `failed`. */
    failsRuns: z.int(),
    /** 0 without checkpoints. */
    savesEveryMs: z.int(),
    /** Runs that do not fail go on until they are stopped. */
    lasts: z.boolean(),
  }),
);
type TaskText = z.infer<typeof taskTextSchema>[number];

/** Finds how a task behaves; a specification that cannot be read is a task of its own short kind. */
export function readTaskText(payload: string, task: string): TaskText {
  const unknown = { workMs: 50, failsRuns: 0, savesEveryMs: 0, lasts: false };
  try {
    const steps = taskTextSchema.parse(JSON.parse(payload));
    return steps[Number(task.split('.')[2])] ?? unknown;
  } catch {
    return unknown;
  }
}

export interface SoakJob {
  readonly row: JobRow;
  /** Body of the submission. */
  readonly body: string;
}

/** Draws a job of one to three steps of short tasks. */
export function createSoakJob(random: SeededRandom): SoakJob {
  const id = random.takeId().slice(0, 16);
  const isHopeless = random.takeUnit() < HOPELESS_SHARE;
  const texts: TaskText[] = [];
  const steps: SoakStep[] = [];
  const count = random.takeInt(1, 3);
  for (let step = 0; step < count; step += 1) {
    const savesEveryMs = random.takeUnit() < SAVING_SHARE ? 100 : 0;
    const failsRuns = isHopeless ? ATTEMPTS : Number(random.takeUnit() < 0.1);
    texts.push({ workMs: random.takeInt(50, 1_500), failsRuns, savesEveryMs, lasts: false });
    steps.push({
      count: random.takeInt(1, 6),
      cpuMillis: random.takeInt(1, 6) * 500,
      memoryMb: random.takeInt(64, 2_048),
      // Some steps run beside the one before them.
      after: step > 0 && random.takeUnit() < 0.8 ? [step - 1] : [],
      requiredLabel: random.takeUnit() < LABEL_SHARE ? SPECIAL_LABEL : '',
      isLongRunning: false,
    });
  }
  return buildSoakJob(id, steps, texts);
}

/** Draws a job whose last step lasts, after or beside a step of short tasks at times. */
export function createLastingSoakJob(random: SeededRandom): SoakJob {
  const id = random.takeId().slice(0, 16);
  const step = { memoryMb: 256, after: [], requiredLabel: '', isLongRunning: false };
  const steps: SoakStep[] = [];
  const texts: TaskText[] = [];
  const hasStepBefore = random.takeUnit() < LASTING_AFTER_SHARE;
  if (hasStepBefore) {
    steps.push({ ...step, count: random.takeInt(1, 3), cpuMillis: 500 });
    texts.push({ workMs: random.takeInt(50, 800), failsRuns: 0, savesEveryMs: 0, lasts: false });
  }
  steps.push({
    ...step,
    count: random.takeInt(1, 4),
    cpuMillis: random.takeInt(1, 2) * 500,
    after: hasStepBefore && random.takeUnit() < 0.5 ? [0] : [],
    isLongRunning: true,
  });
  const failsRuns = random.takeUnit() < LASTING_FAILS_SHARE ? random.takeInt(1, 2) : 0;
  texts.push({ workMs: random.takeInt(500, 4_000), failsRuns, savesEveryMs: 0, lasts: true });
  return buildSoakJob(id, steps, texts);
}

function buildSoakJob(id: string, steps: readonly SoakStep[], texts: readonly TaskText[]): SoakJob {
  const payload = JSON.stringify(texts);
  const body = JSON.stringify({
    spec: payload,
    steps: steps.map(
      ({ count, cpuMillis, memoryMb, after, requiredLabel, isLongRunning }, step) => ({
        count,
        cpu: cpuMillis,
        mem_mb: memoryMb,
        est_runtime_ms: texts[step]?.workMs ?? 0,
        ...(after.length === 0 ? {} : { after }),
        ...(requiredLabel === '' ? {} : { required_label: requiredLabel }),
        ...(isLongRunning ? { long_running: true } : {}),
        ...(texts[step]?.savesEveryMs === 0 ? {} : { saves_progress: true }),
      }),
    ),
  });
  const row = { id, payload, attempts: ATTEMPTS, steps: [...steps], submissions: [], looks: [] };
  return { row, body };
}
