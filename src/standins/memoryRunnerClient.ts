import type { Clock } from '../base/common/clock.ts';
import type { Timer } from '../base/common/loop.ts';
import type { RunnerCall, RunnerReply } from '../model/scheduler/runnerCall.ts';
import { RunnerClient } from '../protocol/node/runnerClient.ts';
import { pollUntilUpdate } from './longPoll.ts';
import type { MemoryRunner } from './memoryRunner.ts';

/** An agent's connection to a worker in the same Node.js process. */
export class MemoryRunnerClient extends RunnerClient {
  private isDisposed = false;

  private constructor(
    private readonly runner: MemoryRunner,
    private readonly times: { readonly clock: Clock; readonly timer: Timer },
  ) {
    super();
  }

  static create(
    runner: MemoryRunner,
    times: { readonly clock: Clock; readonly timer: Timer },
  ): MemoryRunnerClient {
    return new MemoryRunnerClient(runner, times);
  }

  override async send(_address: string, _workerId: string, call: RunnerCall): Promise<RunnerReply> {
    return pollUntilUpdate(
      this.times,
      () => (this.isDisposed ? CLOSED : this.runner.handle(call)),
      hasUpdate,
      call.op === 'hold' ? call.waitMs : 0,
    );
  }

  override dispose(): void {
    this.isDisposed = true;
  }
}

const CLOSED: RunnerReply = { kind: 'noAnswer', message: 'the client is closed' };

function hasUpdate(reply: RunnerReply): boolean {
  return reply.kind !== 'lists' || reply.ended.length > 0;
}
