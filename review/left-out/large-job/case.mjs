// A job whose stored progress outgrows a value of the store; the other accepted jobs must still run.
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { World } from '../../lib-2/world.mjs';

const RUNNERS = 11;
const ZONES = ['a', 'b', 'c'];
const RECORD = join(fileURLToPath(new URL('.', import.meta.url)), 'record.txt');
const TRAFFIC_MS = 55_000;
/** `finish_s` of the pages, and the time for which a job may have nothing running. */
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
/** A task that lasts may be without a run for 6 s, and for 3 s beyond that. */
const LASTING_IDLE_MS = 9_000;

const LARGE_JOB = '1a00000000000000';
/** The large job has groups of tasks; a short task before each group spreads their starts over time. */
const GROUPS = 20;
/** Tasks of a group; without the disruption the job is an ordinary one. */
const GROUP_SIZE = process.env.TROUBLE === '0' ? 1 : 490;
const GATE_WORK_MS = 900;
const LARGE_WORK_MS = 110_000;
const SMALL_WORK_MS = 1_000;
const LARGE = { cpu: 5, mem_mb: 8, saves_progress: true };
const SMALL = { count: 3, cpu: 480, mem_mb: 960, est_runtime_ms: SMALL_WORK_MS };
const LASTING = { count: 2, cpu: 640, mem_mb: 1_300, long_running: true };

function describeTask(task) {
  if (task.startsWith('f')) return { workMs: Number.POSITIVE_INFINITY };
  if (!task.startsWith(LARGE_JOB)) return { workMs: SMALL_WORK_MS };
  const step = Number(task.split('.')[2]);
  return { workMs: step < GROUPS ? GATE_WORK_MS : LARGE_WORK_MS, savesMs: 500, restoreMs: 250 };
}

/** Steps 0 to 19 are a chain of single tasks; step 20 + K is the group that follows task K of it. */
function buildLargeJob() {
  const gates = Array.from({ length: GROUPS }, (_, index) => ({
    ...LARGE,
    count: 1,
    est_runtime_ms: GATE_WORK_MS,
    ...(index === 0 ? {} : { after: [index - 1] }),
  }));
  const groups = Array.from({ length: GROUPS }, (_, index) => ({
    ...LARGE,
    count: GROUP_SIZE,
    est_runtime_ms: LARGE_WORK_MS,
    after: [index],
  }));
  return { spec: 'large', steps: [...gates, ...groups] };
}

/** Writes the runs into the record, and keeps when each job last had something running. */
function observeRuns(world) {
  const jobs = new Map();
  const findJob = (task) => {
    const id = task.slice(0, 16);
    if (!jobs.has(id)) jobs.set(id, { open: 0, firstAt: performance.now(), lastAt: 0 });
    return jobs.get(id);
  };
  for (const runner of world.runners) {
    runner.onStart = (task, run) => {
      findJob(task).open += 1;
      if (!task.startsWith(LARGE_JOB)) world.record(`${runner.id} runs ${task} run ${run}`);
    };
    runner.onEnd = (task, run, how) => {
      const job = findJob(task);
      job.open -= 1;
      job.lastAt = performance.now();
      if (!task.startsWith(LARGE_JOB)) world.record(`${runner.id} ended ${task} run ${run} ${how}`);
    };
  }
  return jobs;
}

/** Submits jobs in turn and returns the accepted ones with the time of their acceptance. */
async function sendTraffic(world) {
  const accepted = new Map();
  const submit = async (number, id, job) => {
    const status = await world.submit(world.entries[number % world.entries.length], id, job);
    if (status === 200) accepted.set(id, performance.now());
  };
  const startedAt = performance.now();
  for (let number = 0; performance.now() < startedAt + TRAFFIC_MS; number += 1) {
    const digits = number.toString(16).padStart(15, '0');
    await submit(number, `0${digits}`, { spec: 'small', steps: [SMALL] });
    if (number % 3 === 0) await submit(number, `f${digits}`, { spec: 'lasting', steps: [LASTING] });
    if (number === 3) await submit(number, LARGE_JOB, buildLargeJob());
    await delay(1_000);
  }
  if (!accepted.has(LARGE_JOB)) throw new Error('the large job was not accepted');
  return accepted;
}

/** The fraction of the reserved cores of the service. */
function computeUsedFraction(world) {
  let used = 0;
  let all = 0;
  for (const runner of world.runners) {
    all += runner.capacity.cpu;
    for (const { task } of runner.running.values())
      used += task.startsWith(LARGE_JOB) ? LARGE.cpu : LASTING.cpu;
  }
  return used / all;
}

/** Returns what the rule says of one accepted job; undefined if it holds. */
async function findBreach(world, runs, id, acceptedAt) {
  const now = performance.now();
  if (id.startsWith('f')) {
    const waitMs = (runs?.firstAt ?? now) - acceptedAt;
    if (waitMs <= LASTING_IDLE_MS) return undefined;
    return `tasks that last had no run for ${Math.round(waitMs)} ms`;
  }
  const state = await world.getState(world.entries[0], id);
  const idleMs = now - Math.max(acceptedAt, runs?.lastAt ?? 0);
  if (state === 'completed' || (runs?.open ?? 0) > 0 || idleMs < IDLE_MS) return undefined;
  return `it is '${state}' and has had nothing running for ${Math.round(idleMs)} ms`;
}

async function judge(world, jobs, accepted) {
  let breaches = 0;
  for (const [id, acceptedAt] of accepted) {
    if (id === LARGE_JOB) continue;
    const breach = await findBreach(world, jobs.get(id), id, acceptedAt);
    if (breach === undefined) continue;
    breaches += 1;
    world.record(`LOST: job ${id} was accepted; ${breach}`);
  }
  world.record(`share of the cores in use: ${computeUsedFraction(world).toFixed(3)}`);
  world.record(breaches > 0 ? 'the rule was broken' : 'the rule held');
  return breaches > 0;
}

async function main() {
  const runners = Array.from({ length: RUNNERS }, (_, index) => ({
    zone: ZONES[index % ZONES.length],
    describe: describeTask,
  }));
  const world = await World.create({ zones: ZONES, runners, recordFile: RECORD });
  try {
    const jobs = observeRuns(world);
    let tooLarge = 0;
    world.store.onOversized = ([item]) => {
      tooLarge += 1;
      const bytes = Math.floor((item.value.length * 3) / 4);
      if (tooLarge <= 3) world.record(`store: 400 for a value of ${bytes} bytes, ${item.key}`);
    };
    await world.waitUntilServing();
    await delay(2_000);
    const accepted = await sendTraffic(world);
    world.record('end of the traffic');
    await delay(FINISH_MS);
    world.record(`transactions with a value that is too large: ${tooLarge}`);
    return (await judge(world, jobs, accepted)) ? 1 : 0;
  } finally {
    world.dispose();
  }
}

process.exitCode = await main().catch((error) => {
  process.stderr.write(`${error.stack}\n`);
  return 2;
});
