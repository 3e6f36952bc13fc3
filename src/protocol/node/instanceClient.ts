import type { InstanceCall, InstanceReply } from '../../model/scheduler/instanceCall.ts';

/** Client of the platform's instance service. */
export abstract class InstanceClient {
  /** Sends one call. Never throws: a missing reply becomes the reply `unavailable`. */
  abstract send(call: InstanceCall, timeoutMs: number): Promise<InstanceReply>;
  abstract dispose(): void;
}
