import type { TaskRow } from '../../src/model/task.ts';
import { ShardWorld } from './shardWorld.ts';
import type { SimEntry } from './worldTypes.ts';
import { WorldChecks } from './worldChecks.ts';

/** Longer than any test, so that a run does not finish. */
export const LONG_WORK_MS = 600_000;

export function startWorld(options: Parameters<typeof ShardWorld.create>[0] = {}): {
  world: ShardWorld;
  checks: WorldChecks;
  owner: SimEntry;
  check: () => void;
} {
  const world = ShardWorld.create(options);
  const checks = WorldChecks.create(world);
  world.runUntil(() => world.owner !== undefined, 5_000, 'an owner');
  return {
    world,
    checks,
    owner: world.owner!,
    check: () => {
      checks.check();
    },
  };
}

export function submitJob(world: ShardWorld, entry: SimEntry, key: string, overrides = {}): string {
  const callId = world.submit(entry, key, overrides);
  world.runUntil(() => world.answers.has(callId), 12_000, `the answer to ${key}`);
  return String(world.getValue(callId)?.jobId);
}

export function listLiveRuns(
  world: ShardWorld,
): { taskId: string; incarnation: number; phase: string }[] {
  return world.agents.flatMap((agent) => agent.worker.listLiveRuns());
}

export function waitUntilRunning(world: ShardWorld, jobId: string, limitMs = 10_000): void {
  const isRunning = (): boolean =>
    listLiveRuns(world).some((run) => run.taskId === jobId && run.phase === 'running');
  world.runUntil(isRunning, limitMs, `a run of ${jobId}`);
}

export function getTask(world: ShardWorld, jobId: string): TaskRow | undefined {
  return world.owner?.state.tasks.get(jobId);
}
