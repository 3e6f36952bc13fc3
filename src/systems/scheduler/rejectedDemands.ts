import type { StepSpec } from '../../model/scheduler/jobSpec.ts';
import type { ReadyTask } from './taskOrder.ts';

/**
 * Demands for which one scheduling pass found no worker. Free capacity only shrinks during the
 * pass, so a step with at least the same demand is skipped. With a backlog this avoids checking
 * every worker for most steps.
 */
export class RejectedDemands {
  private readonly demands = new Map<string, StepSpec[]>();

  private constructor() {
    // Built by create().
  }

  static create(): RejectedDemands {
    return new RejectedDemands();
  }

  /** Records that a step found no worker of the service. */
  add(service: string, ready: ReadyTask): void {
    const { step } = ready.task;
    // A label, a limit per worker or missing advice may be the reason, which says nothing about
    // other steps.
    const isLimitedByCapacity = step.requiredLabel === '' && step.maxPerWorker === 0;
    if (step.fills || !isLimitedByCapacity || ready.job.terms?.advice !== undefined) return;
    const known = this.demands.get(service);
    if (known === undefined) this.demands.set(service, [step]);
    else known.push(step);
  }

  /** Whether a step with a smaller or equal demand found no worker of the service. */
  hasRejected(service: string, { task: { step } }: ReadyTask): boolean {
    if (step.fills) return false;
    const known = this.demands.get(service) ?? [];
    return known.some(
      ({ cpuMillis, memoryMb, gpus }) =>
        cpuMillis <= step.cpuMillis && memoryMb <= step.memoryMb && gpus <= step.gpus,
    );
  }
}
