import type { Clock } from '../base/common/clock.ts';
import type { Timer } from '../base/common/loop.ts';

/** Interval at which a waiting call is evaluated again; short compared with a task's run time. */
const POLL_INTERVAL_MS = 20;

/** Repeats a call until its reply has an update or the wait ends, like a server of a long poll. */
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
