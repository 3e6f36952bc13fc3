import type { InstanceCall, InstanceReply } from '../model/scheduler/instanceCall.ts';
import { InstanceClient } from '../protocol/node/instanceClient.ts';
import type { MemoryInstances } from './memoryInstances.ts';

/** An entry's connection to the platform's instance service in the same Node.js process. */
export class MemoryInstanceClient extends InstanceClient {
  private constructor(private readonly instances: MemoryInstances) {
    super();
  }

  static create(instances: MemoryInstances): MemoryInstanceClient {
    return new MemoryInstanceClient(instances);
  }

  override async send(call: InstanceCall): Promise<InstanceReply> {
    return Promise.resolve(this.instances.handle(call));
  }

  override dispose(): void {
    // There are no resources to release.
  }
}
