import type { AdviceRequest, AdviceReply } from '../model/scheduler/placementAdvice.ts';

/** Times of the adviser's answers, ms. */
interface DecisionTimes {
  readonly decideMs: number;
  readonly perWorkerMs: number;
}

/** Calls of one machine that may wait for their turn. */
const MAX_WAITING_CALLS = 32;

/** Stand-in of the placement adviser. Issues tickets that expire for the allowed workers. */
export class MemoryAdviser {
  readonly requests: AdviceRequest[] = [];
  /** While set, every request is answered with `busy`. */
  isBusy = false;
  /** Whether the answer to a request is lost. */
  isAnswerLost: (request: AdviceRequest) => boolean = () => false;
  private readonly ticketExpiries = new Map<string, number>();
  /** Times at which the calls of each machine are answered, the last one last. */
  private readonly answerTimes = new Map<string, number[]>();

  private constructor(
    private readonly ticketValidityMs: number,
    private readonly isAllowed: (stepKey: string, workerId: string) => boolean,
    public times: DecisionTimes,
  ) {}

  static create(
    validMs: number,
    isAllowed: (stepKey: string, workerId: string) => boolean,
    times: DecisionTimes = { decideMs: 40, perWorkerMs: 0 },
  ): MemoryAdviser {
    return new MemoryAdviser(validMs, isAllowed, times);
  }

  /** Takes a call of a machine and returns when it is answered; undefined if its calls fill the line. */
  queueCall(machineId: string, request: AdviceRequest, now: number): number | undefined {
    const waiting = (this.answerTimes.get(machineId) ?? []).filter((answerAt) => answerAt > now);
    if (waiting.length >= MAX_WAITING_CALLS) return undefined;
    const { decideMs, perWorkerMs } = this.times;
    const answerAt = (waiting.at(-1) ?? now) + decideMs + perWorkerMs * request.workerIds.length;
    this.answerTimes.set(machineId, [...waiting, answerAt]);
    return answerAt;
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
