import type { StepSpec } from '../../model/scheduler/jobSpec.ts';
import type { ReadyTask } from './taskOrder.ts';

/**
 * Demands that found no worker in one placement. Room only shrinks while tasks are placed, so a step
 * that asks for at least as much need not be tried. In a backlog this spares most steps the look at
 * every worker.
 */
export class RejectedDemands {
  private readonly demands = new Map<string, StepSpec[]>();

  private constructor() {
    // Built by create().
  }

  static create(): RejectedDemands {
    return new RejectedDemands();
  }

  /** Notes that a step found no worker of the service. */
  add(service: string, ready: ReadyTask): void {
    const { step } = ready.task;
    // What else a step asks for may be the reason, so it says nothing about others.
    const isLimitedByCapacity = step.requiredLabel === '' && step.maxPerWorker === 0;
    if (step.fills || !isLimitedByCapacity || ready.queue?.advice !== undefined) return;
    const known = this.demands.get(service);
    if (known === undefined) this.demands.set(service, [step]);
    else known.push(step);
  }

  /** Whether a step with a smaller or equal demand has found no worker of the service. */
  hasRejected(service: string, { task: { step } }: ReadyTask): boolean {
    if (step.fills) return false;
    const known = this.demands.get(service) ?? [];
    return known.some(
      ({ cpuMillis, memoryMb, gpus }) =>
        cpuMillis <= step.cpuMillis && memoryMb <= step.memoryMb && gpus <= step.gpus,
    );
  }
}
