import { describe, expect, it } from 'vitest';
import { createJobId, JOB } from '../../support/jobWorld.ts';
import {
  createMaintenanceWorld,
  readWaveState,
  writeWave,
} from '../../support/maintenanceWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import { toInstanceId } from '../../support/worldInstances.ts';
import type { AgentNode } from '../../support/worldNodes.ts';

/** Time that a stopped run continues; as long as the platform allows. */
const STOP_MS = 900;
/** Time from the start of a task until it counts as available. */
const STARTUP_MS = 200;
const LASTING = { cpuMillis: 4_000, longRunning: true, savesProgress: true, maxPerWorker: 1 };

/** World with a step of two long-running tasks, of which one may be unavailable, on three workers. */
class StoppingWorld {
  readonly world: SchedulerWorld;
  private nextJob = 1;

  private constructor() {
    this.world = createMaintenanceWorld(4, 3).world;
    const { world } = this;
    world.behave = () => ({ durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 });
    for (const agent of world.agents) {
      agent.runner.stopDurationMs = STOP_MS;
      agent.shape = { labels: [agent.id] };
      world.sendHeartbeat(agent);
    }
    for (const { state } of world.entries) state.bounds.stopMs = STOP_MS;
    world.run(500);
    world.submit(world.owner!, JOB, [{ ...LASTING, count: 2, maxUnavailable: 1 }]);
    world.run(3_000);
  }

  static create(): StoppingWorld {
    return new StoppingWorld();
  }

  get hosts(): AgentNode[] {
    return this.world.agents.filter(({ runner }) => runner.running.size > 0);
  }

  get stops(): number {
    return this.world.logs.filter(({ event }) => event === 'run_stopped').length;
  }

  /** Submits a task that only the given worker may run. */
  submitTask(agent: AgentNode, durationMs: number): void {
    const id = createJobId((this.nextJob += 1));
    const { behave } = this.world;
    this.world.behave = (task, run) =>
      task.startsWith(id) ? { durationMs, end: 'done' } : behave(task, run);
    this.world.submit(this.world.owner!, id, [{ cpuMillis: 500, requiredLabel: agent.id }]);
  }

  /** Stops the owner with SIGTERM, so that another entry claims the ownership at once. */
  releaseOwner(): void {
    const owner = this.world.owner!;
    owner.loop.receive({ kind: 'stopRequested' });
    owner.loop.runTick();
    for (const other of this.world.entries.filter(({ ownerId }) => ownerId === owner.id))
      this.world.deliver(1, other, { kind: 'ownerLink', isOpen: false });
  }

  countAvailable(): number {
    return this.world.agents
      .flatMap(({ runner }) => [...runner.running.values()])
      .filter(({ task }) => task.startsWith(JOB))
      .filter(({ startedAtMs }) => this.world.clock.now - startedAtMs >= STARTUP_MS).length;
  }

  runUntil(isReached: () => boolean): void {
    for (let elapsedMs = 0; !isReached() && elapsedMs < 10_000; elapsedMs += 1) this.world.run(1);
  }
}

describe('stops that an earlier owner requested', () => {
  describe.each([0, 1, 2])('%i handoffs ago', (handoffs) => {
    it('do not add to those of the present owner', () => {
      const stopping = StoppingWorld.create();
      const { world } = stopping;
      const [first, second] = stopping.hosts;
      stopping.submitTask(second!, 1_000);
      world.run(950);
      expect(stopping.countAvailable()).toBe(2);
      writeWave(world, { withinMs: 60_000, instances: [first!, second!].map(toInstanceId) });
      stopping.runUntil(() => stopping.stops > 0);
      stopping.submitTask(first!, 1_000);
      for (let index = 0; index < handoffs; index += 1) {
        stopping.runUntil(() => world.owner !== undefined);
        stopping.releaseOwner();
      }
      let least = 2;
      for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 10) {
        world.run(10);
        least = Math.min(least, stopping.countAvailable());
      }
      expect(least).toBe(1);
      expect(readWaveState(world)).toBe('completed');
    });
  });
});
