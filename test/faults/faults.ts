import type { SimEntry } from '../support/worldTypes.ts';
import type { MatrixRun } from './matrixRun.ts';
import type { Step } from './steps.ts';

/** A fault that is injected at a step and removed after a bounded time. */
export interface Fault {
  readonly name: string;
  readonly durationMs: number;
  /** Injects the fault; the result removes it. */
  readonly inject: (run: MatrixRun) => () => void;
  /** The reason why the fault cannot occur at a step. */
  readonly findObstacle?: (step: Step) => string | undefined;
}

function killEntry(run: MatrixRun, entry: SimEntry): () => void {
  if (entry.isDead) return () => undefined;
  const index = run.world.entries.indexOf(entry);
  entry.isDead = true;
  run.resendRequests(entry);
  return () => {
    if (run.world.entries[index] === entry) run.world.restartEntry(index);
  };
}

function setLinks(run: MatrixRun, fault: MatrixRun['world']['linkFault']): () => void {
  run.world.linkFault = fault;
  return () => {
    run.world.linkFault = () => ({ copies: 1, delayMs: 0 });
  };
}

function cancelWork(run: MatrixRun): () => void {
  const { world, jobId } = run;
  if (jobId !== undefined) {
    world.call(run.front, { kind: 'cancel', jobId });
    run.isCancelled = true;
  }
  for (const { id, entry, answer } of world.requests.values())
    if (answer === undefined) run.cancelRequest(id, entry);
  return () => undefined;
}

const STORE_FAULTS: Fault[] = [
  {
    name: 'store answer lost',
    durationMs: 2_000,
    inject: (run) => {
      run.world.shouldLoseReply = (call) => call.op === 'write';
      return () => {
        run.world.shouldLoseReply = () => false;
      };
    },
  },
  {
    name: 'store down',
    durationMs: 9_000,
    inject: (run) => {
      run.world.isStoreDown = true;
      return () => {
        run.world.isStoreDown = false;
      };
    },
  },
  {
    name: 'store slow',
    durationMs: 6_000,
    inject: (run) => {
      run.world.getStoreDelayMs = () => 1_200;
      return () => {
        run.world.getStoreDelayMs = () => 0;
      };
    },
  },
  {
    name: 'operator race',
    durationMs: 100,
    inject: (run) => {
      run.world.setConfiguration(run.zonesOutNow);
      return () => undefined;
    },
  },
];

const PROCESS_FAULTS: Fault[] = [
  {
    name: 'lease expired in a pause',
    // The ownership lease is 6 s.
    durationMs: 9_000,
    inject: (run) => {
      const entry = run.owner ?? run.front;
      entry.isPaused = true;
      return () => {
        entry.isPaused = false;
      };
    },
  },
  {
    name: 'entry dies',
    durationMs: 2_000,
    inject: (run) => killEntry(run, run.front),
  },
  {
    name: 'owner dies',
    durationMs: 2_000,
    inject: (run) => killEntry(run, run.owner ?? run.front),
  },
  {
    name: 'agent dies',
    durationMs: 100,
    inject: (run) => {
      const { agent, world } = run;
      world.restartAgent(world.agents.indexOf(agent));
      run.requestChecks.leftMs.delete(agent.id);
      return () => undefined;
    },
  },
  {
    name: 'worker dies',
    durationMs: 100,
    inject: (run) => {
      run.agent.worker.reset();
      return () => undefined;
    },
  },
];

const LINK_FAULTS: Fault[] = [
  {
    name: 'messages lost',
    durationMs: 3_000,
    inject: (run) => setLinks(run, () => ({ copies: 0, delayMs: 0 })),
  },
  {
    name: 'messages doubled',
    durationMs: 3_000,
    inject: (run) => setLinks(run, () => ({ copies: 2, delayMs: 300 })),
  },
  {
    name: 'messages late',
    durationMs: 3_000,
    inject: (run) => setLinks(run, () => ({ copies: 1, delayMs: 1_500 })),
  },
  {
    name: 'messages reordered',
    durationMs: 3_000,
    inject: (run) => {
      let count = 0;
      return setLinks(run, () => ({ copies: 1, delayMs: (count += 1) % 2 === 0 ? 0 : 500 }));
    },
  },
];

const WORK_FAULTS: Fault[] = [
  {
    name: 'zone out',
    durationMs: 5_000,
    inject: (run) => {
      run.world.setConfiguration([run.agent.zone]);
      return () => {
        run.world.setConfiguration([]);
      };
    },
  },
  {
    name: 'cancel',
    durationMs: 100,
    inject: cancelWork,
    findObstacle: (step) => {
      if (step.name === 'submit' || step.name === 'ledger write')
        return 'the caller does not know the job id before the answer';
      return step.group === 'configuration' || step.name === 'announce' || step.name === 'leave'
        ? 'a configuration change or an announcement has no call that cancels it'
        : undefined;
    },
  },
  {
    name: 'every start fails',
    durationMs: 3_000,
    inject: (run) => {
      run.hasFailedStarts = true;
      for (const { worker } of run.world.agents) worker.failsStarts = true;
      return () => {
        for (const { worker } of run.world.agents) worker.failsStarts = false;
      };
    },
    findObstacle: ({ group }) => (group === 'job' ? undefined : 'the step starts no task'),
  },
];

export const FAULTS: readonly Fault[] = [
  ...STORE_FAULTS,
  ...PROCESS_FAULTS,
  ...LINK_FAULTS,
  ...WORK_FAULTS,
];
