import type { Clock } from '../base/common/clock.ts';
import type { Timer } from '../base/common/loop.ts';

/** How often a waiting call is looked at again; short beside the time of a task. */
const POLL_INTERVAL_MS = 20;

/** Repeats a call until its reply has news or its wait is over, as a server with a long poll does. */
export async function pollUntilUpdate<Reply>(
  { clock, timer }: { readonly clock: Clock; readonly timer: Timer },
  call: () => Reply,
  hasUpdate: (reply: Reply) => boolean,
  waitMs: number,
): Promise<Reply> {
  const deadlineMs = clock.now + waitMs;
  return new Promise((resolve) => {
    const poll = (): void => {
      const reply = call();
      if (hasUpdate(reply) || clock.now >= deadlineMs) resolve(reply);
      else timer.schedule(POLL_INTERVAL_MS, poll);
    };
    poll();
  });
}
