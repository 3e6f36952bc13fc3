import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';

/**
 * Queues requests whose backoff has expired.
 * Reads and writes `requests`.
 * Runs each tick, after replies and before dispatch.
 */
export class RetrySystem extends System<EntryState> {
  override readonly name = 'retry';

  private constructor() {
    super();
  }

  static create(): RetrySystem {
    return new RetrySystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const request of state.requestsByPhase.list('backing-off')) {
      if (request.notBeforeMs > tick.now) tick.wakeAt(request.notBeforeMs);
      else state.requests.update(request.id, { phase: 'queued' });
    }
  }
}
