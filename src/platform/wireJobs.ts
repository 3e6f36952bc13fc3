import * as z from 'zod/mini';
import type { JobSpec } from '../model/scheduler/jobSpec.ts';
import { hasValidDependencies, jobSpecSchema } from '../model/scheduler/jobSpec.ts';

const flagSchema = z._default(z.boolean(), false);
const amountSchema = z._default(z.number(), 0);
const textSchema = z._default(z.string(), '');

const wireStepSchema = z.object({
  count: z.int(),
  cpu: amountSchema,
  mem_mb: amountSchema,
  gpu: amountSchema,
  est_runtime_ms: amountSchema,
  after: z._default(z.array(z.int()), []),
  saves_progress: flagSchema,
  gang: flagSchema,
  same_rack: flagSchema,
  required_label: textSchema,
  /** Rack that stores the input data. */
  affinity: textSchema,
  max_per_server: z._default(z.int(), 0),
  speculative: flagSchema,
  long_running: flagSchema,
  image: textSchema,
  target_ms: amountSchema,
  fills: flagSchema,
  /** Maximum number of tasks that the system may make unavailable at the same time. */
  may_miss: z._default(z.int(), 0),
});

const wireJobSchema = z.object({
  spec: textSchema,
  steps: z.array(wireStepSchema),
  times: z._default(z.int(), 0),
  start_at_ms: amountSchema,
  interval_ms: amountSchema,
});

/** Decodes a submission; returns a text that describes the first fault if it is invalid. */
export function decodeJob(body: unknown): JobSpec | string {
  const wire = z.safeParse(wireJobSchema, body);
  if (!wire.success) return describeIssue(wire.error.issues[0]);
  const parsed = z.safeParse(jobSpecSchema, {
    payload: wire.data.spec,
    steps: wire.data.steps.map((step) => ({
      count: step.count,
      cpuMillis: step.cpu,
      memoryMb: step.mem_mb,
      gpus: step.gpu,
      estimatedMs: step.est_runtime_ms,
      after: step.after,
      savesProgress: step.saves_progress,
      gang: step.gang,
      sameRack: step.same_rack,
      requiredLabel: step.required_label,
      nearRack: step.affinity,
      maxPerWorker: step.max_per_server,
      speculative: step.speculative,
      longRunning: step.long_running,
      image: step.image,
      targetMs: step.target_ms,
      fills: step.fills,
      maxUnavailable: step.may_miss,
    })),
    occurrences: wire.data.times,
    startAtMs: wire.data.start_at_ms,
    intervalMs: wire.data.interval_ms,
  });
  if (!parsed.success) return describeIssue(parsed.error.issues[0]);
  return hasValidDependencies(parsed.data)
    ? parsed.data
    : 'a step depends on a step that does not precede it';
}

function describeIssue(issue: z.core.$ZodIssue | undefined): string {
  return issue === undefined ? 'invalid' : `${issue.path.join('.')}: ${issue.message}`;
}
