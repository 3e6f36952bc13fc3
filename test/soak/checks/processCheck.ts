import { SOAK_BOUNDS } from '../bounds.ts';
import type { SoakHistory } from '../history.ts';
import { PromiseCheck } from './promiseCheck.ts';

/** ENDS: no process ends by itself. */
export class ProcessCheck extends PromiseCheck {
  readonly promise = 'ENDS';

  static create(): ProcessCheck {
    return new ProcessCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    return history.exits
      .list()
      .filter(({ isAsked }) => !isAsked)
      .map(({ process, at, code }) => `${process} ended by itself at ${Math.round(at)}: ${code}`);
  }
}

/** CUT-OFF: an entry that stops as planned, with nothing else disturbed, answers what it has read. */
export class GracefulStopCheck extends PromiseCheck {
  readonly promise = 'CUT-OFF';

  static create(): GracefulStopCheck {
    return new GracefulStopCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const broken: string[] = [];
    for (const call of history.brokenCalls.values()) {
      const { process, sentAt, endedAt, deadlineAt, message } = call;
      if (endedAt >= deadlineAt || endedAt <= sentAt + SOAK_BOUNDS.lossSlackMs) continue;
      const isStopping = history.disruptions
        .list()
        .some(
          (row) =>
            row.isPlanned &&
            row.process === process &&
            row.kind === 'terminate' &&
            row.from <= endedAt &&
            endedAt <= row.from + SOAK_BOUNDS.graceMs + 1_000,
        );
      if (isStopping && history.isCalm(sentAt, endedAt))
        broken.push(
          `${process} broke a call off after ${Math.round(endedAt - sentAt)} ms: ${message}`,
        );
    }
    return broken;
  }
}
