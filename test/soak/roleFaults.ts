import * as z from 'zod/mini';
import { STORE_KEYS } from '../../src/model/scheduler/jobRecord.ts';
import type { SoakParts } from './faultInjector.ts';
import type { Fault, RoleFault } from './faultPlan.ts';
import type { SoakHistory } from './history.ts';

const ownerSchema = z.object({ entryId: z.string() });

/** Finds at the moment of a fault on roles which process or worker has the role. */
export class RoleFaults {
  private constructor(
    private readonly parts: SoakParts,
    private readonly history: SoakHistory,
  ) {}

  static create(parts: SoakParts, history: SoakHistory): RoleFaults {
    return new RoleFaults(parts, history);
  }

  /** The faults that a fault stands for now; none if nothing has the role. */
  resolve(fault: Fault | RoleFault): Fault[] {
    switch (fault.kind) {
      case 'loseWorker': {
        const { returns, agentRestartMs, forMs } = fault;
        const found = this.findLastingWorker();
        if (found === undefined) return [];
        const { worker, agent } = found;
        const lost: Fault =
          returns === 'never'
            ? { kind: 'workerGone', worker, forMs: 0 }
            : { kind: 'workerCrash', worker, keepsId: returns === 'sameId', forMs };
        return agentRestartMs === 0
          ? [lost]
          : [lost, { kind: 'kill', process: agent, forMs: agentRestartMs }];
      }
      case 'cutWorkerOff': {
        const found = this.findLastingWorker();
        if (found === undefined) return [];
        const { worker, agent } = found;
        return [`${agent}>${worker}`, `${worker}>${agent}`].map((link) => ({
          kind: 'cutLink',
          link,
          directions: ['out', 'back'],
          forMs: fault.forMs,
        }));
      }
      case 'killOwner': {
        const processes = new Set([this.findOwner() ?? fault.fallback, ...fault.entries]);
        return [...processes].map((process) => ({ kind: 'kill', process, forMs: fault.forMs }));
      }
      default:
        return [fault];
    }
  }

  /** The entry that owns the scheduling; undefined if it has ended or the store names none. */
  private findOwner(): string | undefined {
    const { data: owner } = z.safeParse(ownerSchema, this.parts.store.read(STORE_KEYS.owner));
    const process = this.parts.processes.get(owner?.entryId ?? '');
    return process?.pid === undefined ? undefined : process.name;
  }

  /**
   * The worker with the most lasting tasks, and its agent. Another one has its labels, because jobs that
   * require a label that is gone never end.
   */
  private findLastingWorker(): { readonly worker: string; readonly agent: string } | undefined {
    const counts = new Map<string, number>();
    for (const { job, step, worker, endedAt } of this.history.runs.values()) {
      const isLasting = this.history.jobs.get(job)?.steps[step]?.isLongRunning === true;
      const agent = this.history.workers.get(worker)?.agent;
      if (endedAt === undefined && isLasting && agent !== undefined)
        counts.set(agent, (counts.get(agent) ?? 0) + 1);
    }
    const getCount = (agent: string): number => counts.get(agent) ?? 0;
    const slots = [...this.parts.workers].filter(([, { isUp }]) => isUp);
    return slots
      .filter(([name, { labels }]) =>
        labels.every((label) =>
          slots.some(([other, slot]) => other !== name && slot.labels.includes(label)),
        ),
      )
      .map(([worker, { agent }]) => ({ worker, agent }))
      .sort((left, right) => getCount(right.agent) - getCount(left.agent))[0];
  }
}
