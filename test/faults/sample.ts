import { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { Fault } from './faults.ts';
import { FAULTS } from './faults.ts';
import type { Step } from './steps.ts';
import { STEPS } from './steps.ts';

export interface SampledCell {
  readonly step: Step;
  readonly faults: readonly [Fault, Fault];
}

const SAMPLE_SEED = 20_261_204;
/** Doubled faults and pairs for each step; with all of them the matrix would exceed its time. */
const DOUBLED_PER_STEP = 4;
const PAIRS_PER_STEP = 4;

function listPossible(step: Step): Fault[] {
  return FAULTS.filter((fault) => fault.findObstacle?.(step) === undefined);
}

/** Takes different elements from the list. */
function takeSome(random: SeededRandom, faults: readonly Fault[], count: number): Fault[] {
  const rest = [...faults];
  return Array.from(
    { length: Math.min(count, rest.length) },
    () => rest.splice(random.takeInt(0, rest.length - 1), 1)[0]!,
  );
}

function listSample(): SampledCell[] {
  const random = SeededRandom.create(SAMPLE_SEED);
  return STEPS.flatMap((step) => {
    const possible = listPossible(step);
    const doubled = takeSome(random, possible, DOUBLED_PER_STEP);
    const firsts = takeSome(random, possible, PAIRS_PER_STEP);
    return [
      ...doubled.map((fault): SampledCell => ({ step, faults: [fault, fault] })),
      ...firsts.map((first): SampledCell => {
        const others = possible.filter((fault) => fault !== first);
        return { step, faults: [first, takeSome(random, others, 1)[0]!] };
      }),
    ];
  });
}

/** Cells with the same fault twice or with a pair of faults, the same in each run. */
export const SAMPLED_CELLS: readonly SampledCell[] = listSample();
