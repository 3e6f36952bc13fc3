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

/** What the specification of a job tells the stand-in of the worker, by step. */
const taskTextSchema = z.array(
  z.object({
    workMs: z.int(),
    /** So many runs of a task end `failed`. */
    failsRuns: z.int(),
    /** 0 without checkpoints. */
    savesEveryMs: z.int(),
  }),
);
type TaskText = z.infer<typeof taskTextSchema>[number];

/** Finds how a task behaves; a specification that cannot be read is a task of its own short kind. */
export function readTaskText(payload: string, task: string): TaskText {
  const unknown = { workMs: 50, failsRuns: 0, savesEveryMs: 0 };
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
    texts.push({ workMs: random.takeInt(50, 1_500), failsRuns, savesEveryMs });
    steps.push({
      count: random.takeInt(1, 6),
      cpuMillis: random.takeInt(1, 6) * 500,
      memoryMb: random.takeInt(64, 2_048),
      // Some steps run beside the one before them.
      after: step > 0 && random.takeUnit() < 0.8 ? [step - 1] : [],
      requiredLabel: random.takeUnit() < LABEL_SHARE ? SPECIAL_LABEL : '',
    });
  }
  const payload = JSON.stringify(texts);
  const body = JSON.stringify({
    spec: payload,
    steps: steps.map(({ count: tasks, cpuMillis, memoryMb, after, requiredLabel }, step) => ({
      count: tasks,
      cpu: cpuMillis,
      mem_mb: memoryMb,
      est_runtime_ms: texts[step]?.workMs ?? 0,
      ...(after.length === 0 ? {} : { after }),
      ...(requiredLabel === '' ? {} : { required_label: requiredLabel }),
      ...(texts[step]?.savesEveryMs === 0 ? {} : { saves_progress: true }),
    })),
  });
  const row = { id, payload, attempts: ATTEMPTS, steps, submissions: [], looks: [] };
  return { row, body };
}
