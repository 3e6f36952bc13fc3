import type { InstanceCall, InstanceReply } from '../../model/scheduler/instanceCall.ts';

/** The platform's service that knows the instances, as the scheduler speaks to it. */
export abstract class InstanceClient {
  /** Makes one call. Never throws: no answer is the reply `unavailable`. */
  abstract send(call: InstanceCall, timeoutMs: number): Promise<InstanceReply>;
  abstract dispose(): void;
}
