import type { Clock } from '../base/common/clock.ts';
import type { AdviceRequest, AdviceReply } from '../model/scheduler/placementAdvice.ts';
import { AdviceClient } from '../protocol/node/adviceClient.ts';
import type { MemoryAdviser } from './memoryAdviser.ts';

/** An entry's connection to an adviser in the same Node.js process. */
export class MemoryAdviceClient extends AdviceClient {
  private constructor(
    private readonly adviser: MemoryAdviser,
    private readonly clock: Clock,
  ) {
    super();
  }

  static create(adviser: MemoryAdviser, clock: Clock): MemoryAdviceClient {
    return new MemoryAdviceClient(adviser, clock);
  }

  override async request(request: AdviceRequest): Promise<AdviceReply> {
    return Promise.resolve(this.adviser.answer(request, this.clock.now));
  }

  override dispose(): void {
    // There are no resources to release.
  }
}
