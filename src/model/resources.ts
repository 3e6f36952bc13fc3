import * as z from 'zod/mini';

/** An amount of the resources that an instance provides to tasks. */
export const resourcesSchema = z.object({
  cores: z.number().check(z.nonnegative()),
  memoryMb: z.number().check(z.nonnegative()),
  accelerators: z.int().check(z.nonnegative()),
});
export type Resources = z.infer<typeof resourcesSchema>;

export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

export function addResources(a: Resources, b: Resources): Resources {
  return {
    cores: a.cores + b.cores,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

export function removeResources(a: Resources, b: Resources): Resources {
  return {
    cores: a.cores - b.cores,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

export function hasSameResources(a: Resources, b: Resources): boolean {
  return a.cores === b.cores && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators;
}

/** Whether the capacity covers the demand in every dimension. */
export function hasCapacity(capacity: Resources, demand: Resources): boolean {
  return (
    demand.cores <= capacity.cores + ROUNDING_CORES &&
    demand.memoryMb <= capacity.memoryMb &&
    demand.accelerators <= capacity.accelerators
  );
}

/** Tolerance for binary rounding in sums of fractional cores; far below any schedulable share. */
const ROUNDING_CORES = 1e-9;
