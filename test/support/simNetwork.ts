import type { Clock } from '../../src/base/common/clock.ts';

const LINK_DELAY_MS = 4;

/** Decides what happens to one message of the links; the default delivers it once. */
export type LinkFault = () => { readonly copies: number; readonly delayMs: number };

/** Delivers messages with a delay on a manual clock, with injectable faults. */
export class SimNetwork {
  linkFault: LinkFault = () => ({ copies: 1, delayMs: 0 });
  private readonly queue: { atMs: number; run: () => void }[] = [];

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): SimNetwork {
    return new SimNetwork(clock);
  }

  /** Runs the events that are due. Returns whether any was due. */
  runDue(): boolean {
    const due = this.queue.filter((event) => event.atMs <= this.clock.now);
    for (const event of due) this.queue.splice(this.queue.indexOf(event), 1);
    for (const event of due) event.run();
    return due.length > 0;
  }

  schedule(delayMs: number, run: () => void): void {
    this.queue.push({ atMs: this.clock.now + delayMs, run });
  }

  /** Sends over a link with its faults; receives the first answer, or undefined after the timeout. */
  send(
    timeoutMs: number,
    deliver: (answer: (reply: unknown) => void) => void,
    receive: (reply: unknown) => void,
  ): void {
    let isComplete = false;
    const complete = (reply: unknown): void => {
      if (isComplete) return;
      isComplete = true;
      receive(reply);
    };
    const fault = this.linkFault();
    for (let copy = 0; copy < fault.copies; copy += 1) {
      this.schedule(LINK_DELAY_MS + fault.delayMs * (copy + 1), () => {
        deliver((reply) => {
          const replyFault = this.linkFault();
          if (replyFault.copies === 0) return;
          this.schedule(LINK_DELAY_MS + replyFault.delayMs, () => {
            complete(reply);
          });
        });
      });
    }
    this.schedule(timeoutMs, () => {
      complete(undefined);
    });
  }
}
