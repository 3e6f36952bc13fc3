import { setTimeout as wait } from 'node:timers/promises';
import type { Disposable } from '../base/common/disposable.ts';
import { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer, readWallClock } from '../base/node/nodeClock.ts';
import { RunnerAgentDaemon } from '../daemons/runnerAgentDaemon.ts';
import { SchedulerDaemon } from '../daemons/schedulerDaemon.ts';
import type { PlatformBounds } from '../model/scheduler/platformBounds.ts';
import type { Queue } from '../model/scheduler/queueConfiguration.ts';
import { OPERATOR_KEYS } from '../model/scheduler/queueConfiguration.ts';
import { listSchedulerGauges } from '../daemons/schedulerGauges.ts';
import { serveExplanation } from '../protocol/node/explanationFront.ts';
import { QueueFront } from '../protocol/node/queueFront.ts';
import { StatusServer } from '../protocol/node/statusServer.ts';
import { MemoryInstanceClient } from '../standins/memoryInstanceClient.ts';
import { MemoryInstances } from '../standins/memoryInstances.ts';
import { MemoryAdviceClient } from '../standins/memoryAdviceClient.ts';
import { MemoryAdviser } from '../standins/memoryAdviser.ts';
import type { RunBehaviour } from '../standins/memoryRunner.ts';
import { MemoryRunner } from '../standins/memoryRunner.ts';
import { MemoryRunnerClient } from '../standins/memoryRunnerClient.ts';
import { MemoryStore } from '../standins/memoryStore.ts';
import { MemoryStoreClient } from '../standins/memoryStoreClient.ts';
import { parseTaskDuration } from './worker.ts';

const HOST = '127.0.0.1';
const ZONE = 'busan-a';
const SERVICE = 'batch';
const WORKER_COUNT = 2;
/** Small enough that a gang of three two-core tasks needs both workers. */
const WORKER_CAPACITY = { cpuMillis: 4_000, memoryMb: 8_000, gpus: 0 };
/** Payload of a task that runs until it is stopped. */
export const ENDLESS_PAYLOAD = 'endless';
/** Time limits of the stand-ins, similar to those of the users' platform, see docs/platform.md. */
const PLATFORM_BOUNDS: PlatformBounds = {
  holdMaxMs: 6_000,
  stopMs: 200,
  storeLeaseMinMs: 1_000,
  stopGraceSeconds: 6,
  harmMs: 4_000,
  paceMs: 100,
  farFactor: 1.5,
  earlyMs: 250,
  statusSeconds: 120,
  maintenanceMs: 2_000,
  holderLeaseMs: 3_000,
};
const READY_TIMEOUT_MS = 10_000;
const READY_POLL_INTERVAL_MS = 20;
const ADVICE_VALIDITY_MS = 5_000;

/** The only queue of the local scheduler. */
export const LOCAL_QUEUE: Queue = {
  name: 'render',
  host: 'local',
  prefix: '/render/',
  service: SERVICE,
  priority: 0,
  attempts: 3,
  stretch: 2,
  latencyObjectiveMs: 500,
};

/** One start of a task on a worker. */
export interface LocalTaskStart {
  readonly task: string;
  readonly worker: string;
  readonly atMs: number;
}

const TIME_SOURCES = { clock: NodeClock.create(), timer: NodeTimer.create() };

/** Parses a payload into the behaviour of its task: the run time in milliseconds, or `endless`. */
function parseBehaviour(payload: string): RunBehaviour {
  if (payload === ENDLESS_PAYLOAD)
    return {
      durationMs: Number.POSITIVE_INFINITY,
      end: 'done',
      computeLatencyMs: () => 0,
    };
  const words = payload === '' ? [] : payload.split(' ');
  return { durationMs: parseTaskDuration('', words), end: 'done' };
}

function writeConfiguration(store: MemoryStore): void {
  const configuration = { version: 1, queues: [LOCAL_QUEUE], maxBodyBytes: 262_144 };
  store.handle({
    op: 'write',
    key: OPERATOR_KEYS.configuration,
    expectedVersion: 0,
    value: { kind: 'configuration', configuration },
  });
}

async function openAgent(
  index: number,
  store: MemoryStore,
  runner: MemoryRunner,
  log: LogWriter,
): Promise<RunnerAgentDaemon> {
  const agent = await RunnerAgentDaemon.create(
    { id: `agent-${index}`, zone: ZONE },
    { host: HOST, port: 0 },
    MemoryStoreClient.create(store, TIME_SOURCES),
    MemoryRunnerClient.create(runner, TIME_SOURCES),
    log,
  );
  const identity = {
    id: `worker-${index}`,
    bornMs: runner.startedMs,
    service: SERVICE,
    // The worker lives in this process; its client dials no address.
    address: `worker-${index}:1`,
    zone: ZONE,
    labels: [],
    ...WORKER_CAPACITY,
    isDraining: false,
    drainLeftMs: 0,
  };
  agent.receiveHeartbeat({ identity, sequence: 1 });
  return agent;
}

/** Runs an entry with its queue front on loopback, two agents and their workers in one process. */
export class LocalScheduler implements Disposable {
  private constructor(
    readonly entry: SchedulerDaemon,
    readonly agents: readonly RunnerAgentDaemon[],
    readonly runners: readonly MemoryRunner[],
    private readonly front: QueueFront,
    private readonly status: StatusServer,
  ) {}

  static async create(port = 0, log: LogWriter = LogWriter.create(true)): Promise<LocalScheduler> {
    const store = MemoryStore.create(TIME_SOURCES.clock);
    writeConfiguration(store);
    const entry = await SchedulerDaemon.create(
      {
        id: 'entry-0',
        bootId: 'local',
        zone: ZONE,
        zones: [ZONE],
        cores: 1,
        bounds: { ...PLATFORM_BOUNDS },
      },
      { host: HOST, port: 0 },
      {
        store: MemoryStoreClient.create(store, TIME_SOURCES),
        adviser: MemoryAdviceClient.create(
          MemoryAdviser.create(ADVICE_VALIDITY_MS, () => true),
          TIME_SOURCES.clock,
        ),
        // Local workers belong to no platform instance.
        instances: MemoryInstanceClient.create(
          MemoryInstances.create(TIME_SOURCES.clock, 0, () => ''),
        ),
      },
      log,
    );
    const runners: MemoryRunner[] = [];
    const agents: RunnerAgentDaemon[] = [];
    for (let index = 0; index < WORKER_COUNT; index += 1) {
      const runner = MemoryRunner.create(
        TIME_SOURCES.clock,
        readWallClock(),
        (_task, _run, payload) => parseBehaviour(payload),
      );
      runner.stopDurationMs = PLATFORM_BOUNDS.stopMs;
      runners.push(runner);
      agents.push(await openAgent(index, store, runner, log));
    }
    const front = await QueueFront.create(HOST, port, entry);
    const status = await StatusServer.create(
      { host: HOST, port: 0 },
      {
        counters: entry.state.counters,
        metrics: entry.metrics,
        listGauges: () => listSchedulerGauges(entry.state, entry.now),
      },
      (request, response) => serveExplanation(request, response, entry),
    );
    return new LocalScheduler(entry, agents, runners, front, status);
  }

  /** Origin of the queue front, `http://ip:port`. */
  get origin(): string {
    return `http://${HOST}:${this.front.port}`;
  }

  /** Address of the metrics page and the job explanations, `ip:port`. */
  get statusAddress(): string {
    return `${HOST}:${this.status.port}`;
  }

  /** Waits until the entry is ready and can start tasks on every worker. */
  async waitReady(): Promise<void> {
    const deadlineMs = TIME_SOURCES.clock.now + READY_TIMEOUT_MS;
    const isReady = (): boolean =>
      this.entry.isReady &&
      [...this.entry.state.workers.values()].filter(({ hasFencedReport }) => hasFencedReport)
        .length === WORKER_COUNT;
    while (!isReady()) {
      if (TIME_SOURCES.clock.now > deadlineMs)
        throw new Error('the local scheduler did not become ready before the timeout');
      await wait(READY_POLL_INTERVAL_MS);
    }
  }

  /**
   * Lists the starts of a job's tasks, sorted by start time. Task names are relative to the job:
   * `OCCURRENCE.STEP.INDEX`.
   */
  listStarts(jobId: string): LocalTaskStart[] {
    return this.runners
      .flatMap((runner, index) =>
        runner.starts
          .filter(({ task }) => task.startsWith(`${jobId}.`))
          .map(({ task, at }) => ({
            task: task.slice(jobId.length + 1),
            worker: `worker-${index}`,
            atMs: at,
          })),
      )
      .sort((left, right) => left.atMs - right.atMs);
  }

  /** Counts the running tasks of a job. */
  countRunning(jobId: string): number {
    const running = this.runners.flatMap((runner) => runner.listRunning());
    return running.filter(({ task }) => task.startsWith(`${jobId}.`)).length;
  }

  dispose(): void {
    for (const disposable of [this.front, this.status, ...this.agents, this.entry])
      disposable.dispose();
  }
}
