import { Pool } from 'undici';
import type { StoreCall, StoreReply } from '../../model/store.ts';
import { storeReplySchema } from '../../model/store.ts';
import { decodeMessage, encodeMessage } from '../common/codec.ts';
import { StoreClient } from './storeClient.ts';

const MAX_CONNECTIONS = 8;

/** Store client over HTTP that posts MessagePack calls to `/v1/call`. */
export class HttpStoreClient extends StoreClient {
  private readonly pool: Pool;

  private constructor(origin: string) {
    super();
    this.pool = new Pool(origin, { connections: MAX_CONNECTIONS, pipelining: 1 });
  }

  static create(origin: string): HttpStoreClient {
    return new HttpStoreClient(origin);
  }

  override async send(call: StoreCall, timeoutMs: number): Promise<StoreReply> {
    try {
      const answer = await this.pool.request({
        method: 'POST',
        path: '/v1/call',
        headers: { 'content-type': 'application/msgpack' },
        body: encodeMessage(call),
        signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs))),
      });
      const bytes = new Uint8Array(await answer.body.arrayBuffer());
      if (answer.statusCode !== 200)
        return { kind: 'unavailable', message: `status ${answer.statusCode}` };
      return decodeMessage(storeReplySchema, bytes).caseOf<StoreReply>({
        Left: (message) => ({ kind: 'unavailable', message }),
        Right: (reply) => reply,
      });
    } catch (error) {
      return { kind: 'unavailable', message: (error as Error).message };
    }
  }

  override dispose(): void {
    void this.pool.destroy();
  }
}
