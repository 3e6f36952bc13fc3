import * as z from 'zod/mini';
import type { AdviceRequest, AdviceReply } from '../model/scheduler/placementAdvice.ts';
import { AdviceClient } from '../protocol/node/adviceClient.ts';
import { WireHttp } from './wireHttp.ts';

/** Worker id and ticket. */
const ticketSchema = z.tuple([z.string(), z.string()]);
const adviceSchema = z.object({ good: z.array(z.unknown()) });

/** Client of the platform's placement adviser, which names the workers that a policy allows. */
export class WireAdviceClient extends AdviceClient {
  private readonly http = WireHttp.create();

  private constructor(private readonly address: string) {
    super();
  }

  /** An empty address means that the deployment has no adviser. */
  static create(address: string): WireAdviceClient {
    return new WireAdviceClient(address);
  }

  override async request(request: AdviceRequest, timeoutMs: number): Promise<AdviceReply> {
    if (this.address === '') return { kind: 'unavailable', message: 'no adviser is configured' };
    const outcome = await this.http.send({
      method: 'POST',
      address: this.address,
      path: '/bramleyladder/advise',
      body: { step: request.stepKey, workers: request.workerIds },
      timeoutMs,
    });
    if (outcome.kind !== 'answer') return { kind: 'unavailable', message: outcome.message };
    if (outcome.status === 429) return { kind: 'busy' };
    const parsed = z.safeParse(adviceSchema, outcome.body);
    if (outcome.status !== 200 || !parsed.success)
      return { kind: 'unavailable', message: `unexpected answer ${outcome.status}` };
    // A row that cannot be read allows no worker; the others hold.
    const tickets = parsed.data.good.flatMap((row) => {
      const pair = z.safeParse(ticketSchema, row);
      return pair.success ? [{ workerId: pair.data[0], ticket: pair.data[1] }] : [];
    });
    if (tickets.length === 0 && parsed.data.good.length > 0)
      return { kind: 'unavailable', message: 'no row of the answer can be read' };
    return { kind: 'advice', tickets };
  }

  override dispose(): void {
    this.http.dispose();
  }
}
