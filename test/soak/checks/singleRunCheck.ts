import type { SoakHistory } from '../history.ts';
import { isEndNoted } from '../history.ts';
import type { RunRow } from '../rows.ts';
import { PromiseCheck } from './promiseCheck.ts';

/** A run that was shown as completed may still be started so long after, ms. */
const COMPLETED_SLACK_MS = 1_000;

/** TWICE: a task runs at one place at a time, and not again after an end that was acknowledged. */
export class SingleRunCheck extends PromiseCheck {
  readonly promise = 'TWICE';

  static create(): SingleRunCheck {
    return new SingleRunCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const broken: string[] = [];
    for (const [task, runs] of history.listRunsByTask()) {
      runs.forEach((run, index) => {
        for (const earlier of runs.slice(0, index)) {
          const isOpen = (earlier.endedAt ?? Infinity) > run.startedAt;
          if (isOpen) broken.push(describePair(task, earlier, run, 'while'));
          else if (earlier.how === 'done' && isEndNoted(history, earlier))
            broken.push(describePair(task, earlier, run, 'after the end of'));
        }
        const completedAt = findCompletion(history, run);
        if (completedAt !== undefined && run.startedAt > completedAt + COMPLETED_SLACK_MS) {
          const agent = history.workers.get(run.worker)?.agent ?? '';
          if (history.isInTouch(agent, run.startedAt))
            broken.push(`${task} run ${run.run} started after its job was shown as completed`);
        }
      });
    }
    return broken;
  }
}

function findCompletion(history: SoakHistory, run: RunRow): number | undefined {
  const looks = history.jobs.get(run.job)?.looks ?? [];
  return looks.find(({ state }) => state === 'completed')?.endedAt;
}

function describePair(task: string, earlier: RunRow, run: RunRow, how: string): string {
  const at = Math.round(run.startedAt);
  return `${task} run ${run.run} started on ${run.worker} at ${at} ${how} run ${earlier.run} on ${earlier.worker}`;
}
