// A machine with tasks that last is lost for good with the owner and the next owner; the tasks must run again.
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { World } from '../lib-2/world.mjs';

const RUNNERS = 11;
const ZONES = ['a', 'b', 'c'];
const RECORD = join(fileURLToPath(new URL('.', import.meta.url)), 'record.txt');
const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** A new machine comes so long after one was removed for good (`replace_core`, x = 2). */
const REPLACED_AFTER_MS = 2_000;
const OWNER_LOST_AFTER_MS = 1_000;
/** Bounds of the pages: `contact_ms`, and the rule's 6 s, 3 s and 4 s. */
const CONTACT_MS = 3_000;
const AFTER_RUN_MS = 6_000;
const IDLE_MS = 3_000;
const CALM_BEFORE_MS = 4_000;
const WATCH_MS = 40_000;
const JOB = {
  spec: 'lasting',
  steps: [{ count: 8, cpu: 6_400, mem_mb: 13_000, long_running: true, max_per_server: 1 }],
};
const JOB_ID = 'f000000000000001';

function observeRuns(world) {
  const tasks = new Map();
  for (const runner of world.runners) {
    runner.onStart = (task, run) => {
      world.record(`${runner.id} runs ${task} run ${run}`);
      tasks.set(task, { runner, startedAt: performance.now() });
    };
    runner.onEnd = (task, run, how) => {
      world.record(`${runner.id} ended ${task} run ${run} ${how}`);
    };
  }
  return tasks;
}

/** Removes a machine for good: its process ends and does not come back. */
function removeMachine(world, program) {
  world.record(`${program.id} is removed for good`);
  program.isRemoved = true;
  program.child.kill('SIGKILL');
}

async function waitFor(check, timeoutMs, what) {
  const deadline = performance.now() + timeoutMs;
  for (let found = check(); ; found = check()) {
    if (found !== undefined) return found;
    if (performance.now() > deadline) throw new Error(`no ${what}`);
    await delay(2);
  }
}

/** The entry that the owner key names, unless it is one of those that are gone. */
function findOwner(world) {
  const id = world.store.read('owner/current')?.entryId;
  return world.entries.find((entry) => entry.id === id && entry.isRemoved !== true);
}

async function loseOwner(world, number) {
  const owner = await waitFor(() => findOwner(world), 10_000, 'owner');
  removeMachine(world, owner);
  const { zone } = owner;
  void delay(REPLACED_AFTER_MS).then(() => {
    if (world.isDisposed) return;
    world.record(`a new machine comes: edge-${zone}-${number}`);
    void world.addEntry(`edge-${zone}-${number}`, zone);
  });
}

/** Loses a machine of the job, then the owner, then the entry that has just become the next owner. */
async function loseMachines(world, tasks) {
  const { runner } = [...tasks.values()][0];
  const lost = [...tasks.entries()].filter(([, task]) => task.runner === runner);
  const index = world.runners.indexOf(runner);
  const agent = world.processes.filter(({ role }) => role === 'agent')[index];
  const endedAt = performance.now();
  world.record(`runner ${runner.id} is lost for good with its machine`);
  runner.dispose();
  removeMachine(world, agent);
  await delay(OWNER_LOST_AFTER_MS);
  await loseOwner(world, 2);
  await loseOwner(world, 3);
  const calmFrom = performance.now() + REPLACED_AFTER_MS + CONTACT_MS;
  return { endedAt, calmFrom, lost: lost.map(([task]) => task) };
}

function judge(world, tasks, { endedAt, calmFrom, lost }) {
  const mustRunAt = Math.max(endedAt + AFTER_RUN_MS + IDLE_MS, calmFrom + CALM_BEFORE_MS + IDLE_MS);
  let breaches = 0;
  for (const task of lost) {
    const { startedAt } = tasks.get(task);
    const nextAt = startedAt > endedAt ? startedAt : performance.now();
    const waitMs = Math.round(nextAt - endedAt);
    world.record(`${task}: ${waitMs} ms without a run, ${Math.round(mustRunAt - endedAt)} allowed`);
    if (nextAt <= mustRunAt) continue;
    breaches += 1;
    world.record(`LOST: ${task} had no run, with room and calm`);
  }
  return breaches > 0;
}

async function main() {
  const world = await World.create({
    zones: ZONES,
    recordFile: RECORD,
    runners: Array.from({ length: RUNNERS }, (_, index) => ({
      zone: ZONES[index % ZONES.length],
      describe: () => ({ workMs: Number.POSITIVE_INFINITY }),
    })),
  });
  try {
    const tasks = observeRuns(world);
    await world.waitUntilServing();
    await delay(2_000);
    if ((await world.submit(world.entries[0], JOB_ID, JOB)) !== 200)
      throw new Error('the job was not accepted');
    await waitFor(() => (tasks.size === 8 ? true : undefined), 10_000, 'run of each task');
    await delay(8_000);
    if (!HAS_TROUBLE) {
      await delay(WATCH_MS);
      const running = world.runners.reduce((sum, runner) => sum + runner.running.size, 0);
      world.record(`${running} of 8 tasks run`);
      return running === 8 ? 0 : 1;
    }
    const losses = await loseMachines(world, tasks);
    await delay(WATCH_MS);
    const isBroken = judge(world, tasks, losses);
    world.record(isBroken ? 'the rule was broken' : 'the rule held');
    return isBroken ? 1 : 0;
  } finally {
    world.dispose();
  }
}

process.exitCode = await main().catch((error) => {
  process.stderr.write(`${error.stack}\n`);
  return 2;
});
