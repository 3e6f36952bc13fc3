import { SchedulerWorld } from './schedulerWorld.ts';
import type { EntryNode } from './worldNodes.ts';

/** Id of the job in tests that submit one. */
export const JOB = '00000000000000a1';
/** The first task of the job. */
export const TASK = `${JOB}.0.0.0`;

/** Interval at which the runs of a task are counted. */
const SAMPLE_INTERVAL_MS = 5;

/** Creates a world whose owner accepts jobs. */
export function createWorld(entries = 2, agents = 2): { world: SchedulerWorld; entry: EntryNode } {
  const world = SchedulerWorld.create(entries, agents);
  world.run(2_000);
  return { world, entry: world.entries[0]! };
}

/** Reads the phase of a job from an entry as a caller. */
export function readPhase(world: SchedulerWorld, entry: EntryNode, jobId = JOB): string {
  const callId = world.call(entry, jobId, { kind: 'read' });
  world.run(100);
  const answer = entry.answers.get(callId);
  return answer?.kind === 'phase' ? answer.phase : (answer?.kind ?? 'none');
}

/** Kills the owner and advances the clock until another entry has loaded the tables. */
export function replaceOwner(world: SchedulerWorld): EntryNode {
  world.kill(world.owner!);
  while (world.owner === undefined) world.run(10);
  return world.owner;
}

/** Overwrites the value of a key, as another writer may. */
export function writeValue(world: SchedulerWorld, key: string, value: unknown): void {
  const read = world.store.handle({ op: 'read', key });
  const expectedVersion = read.kind === 'entry' ? read.entry.version : 0;
  world.store.handle({ op: 'write', key, expectedVersion, value });
}

export function createJobId(index: number): string {
  return index.toString(16).padStart(16, '0');
}

/** Advances the clock and returns the highest number of simultaneous runs of the task. */
export function countPeakRuns(world: SchedulerWorld, durationMs: number): number {
  let peak = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += SAMPLE_INTERVAL_MS) {
    world.run(SAMPLE_INTERVAL_MS);
    peak = Math.max(peak, world.agents.filter(({ runner }) => runner.running.has(TASK)).length);
  }
  return peak;
}
