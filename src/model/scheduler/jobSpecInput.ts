import type { Either } from 'purify-ts/Either';
import { Left, Right } from 'purify-ts/Either';
import * as z from 'zod/mini';
import type { ValueFault } from '../../base/common/parse.ts';
import { parseValue } from '../../base/common/parse.ts';
import type { JobSpec } from './jobSpec.ts';
import {
  jobSpecSchema,
  listDependencyFaults,
  STEP_COUNT_CHECKS,
  stepSpecSchema,
} from './jobSpec.ts';

/** Rejects unknown fields, which are mostly typing errors in input; stored values may have newer fields. */
const jobSpecInputSchema = z.strictObject({
  ...jobSpecSchema.shape,
  steps: z.array(z.strictObject(stepSpecSchema.shape)).check(...STEP_COUNT_CHECKS),
});

/** Validates a job specification of a submitter. The left side lists the faults with their paths. */
export function parseJobSpec(value: unknown): Either<ValueFault[], JobSpec> {
  return parseValue(jobSpecInputSchema, value).chain((spec) => {
    const faults = listDependencyFaults(spec);
    return faults.length === 0 ? Right(spec) : Left(faults);
  });
}
