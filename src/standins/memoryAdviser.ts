import type { AdviceRequest, AdviceReply } from '../model/scheduler/placementAdvice.ts';

/** Stand-in of the placement adviser. Issues tickets that expire for the allowed workers. */
export class MemoryAdviser {
  readonly requests: AdviceRequest[] = [];
  /** While set, every request is answered with `busy`. */
  isBusy = false;
  private readonly ticketExpiries = new Map<string, number>();

  private constructor(
    private readonly ticketValidityMs: number,
    private readonly isAllowed: (stepKey: string, workerId: string) => boolean,
  ) {}

  static create(
    validMs: number,
    isAllowed: (stepKey: string, workerId: string) => boolean,
  ): MemoryAdviser {
    return new MemoryAdviser(validMs, isAllowed);
  }

  answer(request: AdviceRequest, now: number): AdviceReply {
    this.requests.push(request);
    if (this.isBusy) return { kind: 'busy' };
    const allowed = request.workerIds.filter((id) => this.isAllowed(request.stepKey, id));
    return {
      kind: 'advice',
      tickets: allowed.map((workerId) => {
        const ticket = `${request.stepKey}/${workerId}/${now}`;
        this.ticketExpiries.set(ticket, now + this.ticketValidityMs);
        return { workerId, ticket };
      }),
    };
  }

  /** Whether the worker accepts the ticket for the task's step. */
  isValid(ticket: string, task: string, workerId: string, now: number): boolean {
    const stepKey = task.split('.').slice(0, 3).join('.');
    return (
      ticket.startsWith(`${stepKey}/${workerId}/`) &&
      now <= (this.ticketExpiries.get(ticket) ?? Number.NEGATIVE_INFINITY)
    );
  }
}
