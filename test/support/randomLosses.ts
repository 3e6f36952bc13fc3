import { SeededRandom } from '../../src/base/common/seededRandom.ts';
import { STORE_KEYS } from '../../src/model/scheduler/jobRecord.ts';
import { JOB } from './jobWorld.ts';
import { createLeaseWorld, replaceProcess } from './lostWorkers.ts';
import type { SchedulerWorld } from './schedulerWorld.ts';
import type { AgentNode, EntryNode, RunnerCallFault } from './worldNodes.ts';
import type { StoreMode } from './worldStore.ts';

const ENTRIES = 4;
const AGENTS = 5;
const TASKS = 4;
const FAULTS_MS = 20_000;
/** Longest time of one disruption, ms. */
const LONGEST_FAULT_MS = 9_000;
const SAMPLE_MS = 10;
/** A disruption counts for 3 s after its end; the rule then asks for 4 s and 3 s. */
const IDLE_AFTER_DISRUPTION_MS = 10_000;

/** Random losses of entries, agents, workers and links in a world with long-running tasks. */
export class RandomLosses {
  /** What was done, with the time in ms. */
  readonly actions: string[] = [];
  private readonly lost = new Set<AgentNode>();
  /** Time at which the last disruption ends. */
  private calmAt = 0;

  private constructor(
    private readonly random: SeededRandom,
    private readonly world: SchedulerWorld,
    private readonly maxLeaseMs: number,
  ) {}

  static create(seed: number): RandomLosses {
    const random = SeededRandom.create(seed);
    const maxLeaseMs = seed % 2 === 1 ? 6_000 : 10_000;
    const world = createLeaseWorld(maxLeaseMs, ENTRIES, AGENTS);
    world.behave = () => ({ durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 });
    world.submit(world.entries[0]!, JOB, [{ count: TASKS, longRunning: true }]);
    world.run(3_000);
    return new RandomLosses(random, world, maxLeaseMs);
  }

  /** Plays the faults and lists the tasks that ran twice at the same time, with the time. */
  runFaults(): string[] {
    const { world, random } = this;
    const twice: string[] = [];
    const endAt = world.clock.now + FAULTS_MS;
    this.calmAt = world.clock.now;
    while (world.clock.now < endAt) {
      // Losses that follow each other closely are the ones that break rules.
      const pauseMs = random.takeUnit() < 0.5 ? random.takeInt(0, 400) : random.takeInt(0, 3_000);
      this.observe(pauseMs, twice);
      this.act();
    }
    this.observe(Math.max(0, this.calmAt - world.clock.now), twice);
    this.restore();
    this.observe(IDLE_AFTER_DISRUPTION_MS, twice);
    return twice;
  }

  /** Lists the tasks without a run. */
  listIdleTasks(): string[] {
    return this.listTasks().filter((task) => this.countRuns(task) === 0);
  }

  private observe(durationMs: number, twice: string[]): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += SAMPLE_MS) {
      this.world.run(SAMPLE_MS);
      for (const task of this.listTasks())
        if (this.countRuns(task) > 1 && twice.length < 3)
          twice.push(`${task} at ${this.world.clock.now}`);
    }
  }

  private listTasks(): string[] {
    return Array.from({ length: TASKS }, (_, index) => `${JOB}.0.0.${index}`);
  }

  private countRuns(task: string): number {
    return this.world.agents.filter(({ runner }) => runner.running.has(task)).length;
  }

  private act(): void {
    const { random } = this;
    const acts = [
      () => {
        this.killEntry();
      },
      () => {
        this.killEntry();
      },
      () => {
        this.freezeEntry();
      },
      () => {
        this.cutStore();
      },
      () => {
        this.cutStore();
      },
      () => {
        this.cutAllStores();
      },
      () => {
        this.deleteOwnerKey();
      },
      () => {
        this.partitionEntries();
      },
      () => {
        this.closeAgent();
      },
      () => {
        this.restartAgent();
      },
      () => {
        this.restartAgent();
      },
      () => {
        this.freezeAgent();
      },
      () => {
        this.cutWorker();
      },
      () => {
        this.cutWorker();
      },
      () => {
        this.restartWorker();
      },
      () => {
        this.loseWorker();
      },
      () => {
        this.loseInstance();
      },
    ];
    acts[random.takeInt(0, acts.length - 1)]!();
  }

  private record(action: string, durationMs: number): void {
    const { now } = this.world.clock;
    this.actions.push(`${Math.round(now)} ${action} ${durationMs}`);
    this.calmAt = Math.max(this.calmAt, now + durationMs);
  }

  private chooseEntry(): EntryNode | undefined {
    const { world, random } = this;
    const entries = world.entries.filter(
      ({ isUp, frozenArrivals }) => isUp && frozenArrivals === undefined,
    );
    const isOwner = random.takeUnit() < 0.6;
    const owner = entries.find(({ state }) => state.ownership.role === 'owner');
    return isOwner && owner !== undefined ? owner : entries[random.takeInt(0, entries.length - 1)];
  }

  private chooseAgent(): AgentNode | undefined {
    const { world, random } = this;
    const agents = world.agents.filter(
      (agent) => !this.lost.has(agent) && agent.frozenArrivals === undefined,
    );
    const hosts = agents.filter(({ runner }) => runner.running.size > 0);
    const candidates = hosts.length > 0 && random.takeUnit() < 0.8 ? hosts : agents;
    return candidates[random.takeInt(0, candidates.length - 1)];
  }

  private takeDuration(): number {
    const isShort = this.random.takeUnit() < 0.5;
    return this.random.takeInt(100, isShort ? 1_500 : LONGEST_FAULT_MS);
  }

  private killEntry(): void {
    const entry = this.chooseEntry();
    if (entry === undefined) return;
    const downMs = this.random.takeInt(100, 3_000);
    this.record(`kill ${entry.id}`, downMs);
    replaceProcess(this.world, entry, downMs);
  }

  private freezeEntry(): void {
    const entry = this.chooseEntry();
    if (entry === undefined) return;
    const durationMs = this.takeDuration();
    const isSuspended = this.random.takeUnit() < 0.3;
    this.record(`${isSuspended ? 'suspend' : 'freeze'} ${entry.id}`, durationMs);
    this.world.freeze(entry, durationMs, isSuspended);
  }

  private cutStore(): void {
    const entry = this.chooseEntry();
    if (entry === undefined) return;
    this.setStore([entry], this.takeDuration());
  }

  private cutAllStores(): void {
    this.setStore(this.world.entries, this.takeDuration());
  }

  private setStore(entries: readonly EntryNode[], durationMs: number): void {
    const modes: StoreMode[] = ['silent', 'refuses', 'answerLost', 'late'];
    const mode = modes[this.random.takeInt(0, modes.length - 1)]!;
    const ids = entries.map(({ id }) => id);
    this.record(`store ${mode} ${ids.join()}`, durationMs);
    for (const entry of entries) entry.store = mode;
    this.world.events.schedule(durationMs, () => {
      for (const entry of this.world.entries) if (ids.includes(entry.id)) entry.store = 'up';
    });
  }

  private deleteOwnerKey(): void {
    this.record('delete the owner key', 0);
    const deletes = [STORE_KEYS.owner];
    this.world.store.handle({ op: 'transact', expected: [], puts: [], deletes });
  }

  private partitionEntries(): void {
    const { world } = this;
    const entry = this.chooseEntry();
    if (entry === undefined) return;
    const durationMs = this.takeDuration();
    this.record(`partition ${entry.id}`, durationMs);
    for (const other of world.entries)
      if (other !== entry && this.random.takeUnit() < 0.7) world.links.closeEntries(entry, other);
    world.events.schedule(durationMs, () => {
      world.links.openEntries();
    });
  }

  /** Closes an agent to new links; present ones stay or close. */
  private closeAgent(): void {
    const agent = this.chooseAgent();
    if (agent === undefined) return;
    const durationMs = this.takeDuration();
    this.record(`close ${agent.id}`, durationMs);
    if (this.random.takeUnit() < 0.5) this.world.disconnectAgent(agent);
    agent.isReachable = false;
    this.world.events.schedule(durationMs, () => {
      if (!this.lost.has(agent)) agent.isReachable = true;
    });
  }

  private restartAgent(): void {
    const agent = this.chooseAgent();
    if (agent === undefined) return;
    const downMs = this.random.takeInt(50, 1_000);
    this.record(`restart ${agent.id}`, downMs);
    this.world.restartAgent(agent, downMs);
  }

  private freezeAgent(): void {
    const agent = this.chooseAgent();
    if (agent === undefined) return;
    const durationMs = this.takeDuration();
    this.record(`freeze ${agent.id}`, durationMs);
    this.world.freezeAgent(agent, durationMs);
  }

  private cutWorker(): void {
    const agent = this.chooseAgent();
    if (agent === undefined) return;
    const faults: RunnerCallFault[] = ['dropped', 'dropped', 'silent', 'lost', 'late', 'refused'];
    const fault = faults[this.random.takeInt(0, faults.length - 1)]!;
    const durationMs = this.takeDuration();
    this.record(`worker ${fault} ${agent.id}`, durationMs);
    agent.getFault = () => fault;
    this.world.events.schedule(durationMs, () => {
      agent.getFault = () => undefined;
    });
  }

  private restartWorker(): void {
    const agent = this.chooseAgent();
    if (agent === undefined || agent.hasTerminated) return;
    const beatAfterMs = this.random.takeInt(0, 1_000);
    this.record(`restart the worker of ${agent.id}`, beatAfterMs);
    this.world.restartRunner(agent, beatAfterMs);
    agent.runner.maxLeaseMs = this.maxLeaseMs;
  }

  private loseWorker(): void {
    const agent = this.chooseAgent();
    if (agent === undefined || this.lost.size > 1) return;
    this.record(`lose the worker of ${agent.id}`, 0);
    this.lost.add(agent);
    agent.runner.running.clear();
    agent.hasTerminated = true;
  }

  /** Loses a worker with its agent. */
  private loseInstance(): void {
    const agent = this.chooseAgent();
    if (agent === undefined || this.lost.size > 1) return;
    this.record(`lose ${agent.id}`, 0);
    this.lost.add(agent);
    agent.runner.running.clear();
    agent.hasTerminated = true;
    this.world.disconnectAgent(agent);
    agent.frozenArrivals = [];
  }

  private restore(): void {
    this.world.links.openEntries();
    for (const entry of this.world.entries) entry.store = 'up';
    for (const agent of this.world.agents) {
      if (this.lost.has(agent)) continue;
      agent.isReachable = true;
      agent.getFault = () => undefined;
    }
  }
}
