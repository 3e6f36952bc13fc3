import * as z from 'zod/mini';
import type { AdviceRequest, AdviceReply } from '../model/scheduler/placementAdvice.ts';
import { AdviceClient } from '../protocol/node/adviceClient.ts';
import { WireHttp } from './wireHttp.ts';

/** Rows of a worker's id and its ticket. */
const adviceSchema = z.object({ good: z.array(z.tuple([z.string(), z.string()])) });

/** The platform's service that knows the workers that a policy allows. */
export class WireAdviceClient extends AdviceClient {
  private readonly http = WireHttp.create();

  private constructor(private readonly address: string) {
    super();
  }

  /** An empty address stands for a deployment without the service. */
  static create(address: string): WireAdviceClient {
    return new WireAdviceClient(address);
  }

  override async request(question: AdviceRequest, timeoutMs: number): Promise<AdviceReply> {
    if (this.address === '') return { kind: 'unavailable', message: 'no adviser is configured' };
    const outcome = await this.http.send({
      method: 'POST',
      address: this.address,
      path: '/bramleyladder/advise',
      body: { step: question.stepKey, workers: question.workerIds },
      timeoutMs,
    });
    if (outcome.kind !== 'answer') return { kind: 'unavailable', message: outcome.message };
    if (outcome.status === 429) return { kind: 'busy' };
    const parsed = z.safeParse(adviceSchema, outcome.body);
    if (outcome.status !== 200 || !parsed.success)
      return { kind: 'unavailable', message: `unexpected answer ${outcome.status}` };
    return {
      kind: 'advice',
      tickets: parsed.data.good.map(([workerId, ticket]) => ({ workerId, ticket })),
    };
  }

  override dispose(): void {
    this.http.dispose();
  }
}
