import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { runCase } from '../lib/deployment.mjs';

const QUEUE = { name: 'builds', host: 'nony24.example', prefix: '/builds/', service: 'svc' };
const OTHER = { name: 'idle', host: 'nony24.example', prefix: '/idle/', service: 'svc' };
const ATTEMPTS = 2;
const JOB = '5c0e7a21d94b36f8';
/** One of twenty jobs cannot be done: the largest share of `poison` is 0.05. */
const SOUND_JOBS = 19;

function createConfiguration(version, routes) {
  return {
    version,
    routes: routes.map((route) => ({
      ...route,
      priority: 0,
      attempts: ATTEMPTS,
      stretch: 1.5,
      slo_ms: 300,
    })),
    services: [{ name: 'svc' }],
    limits: { max_body_bytes: 262_144 },
  };
}

/** A start of the task after so many of its runs as allowed have ended `failed`, all acknowledged. */
function listBroken({ events }) {
  const broken = [];
  for (const { at, task, run } of events.filter(({ kind }) => kind === 'start')) {
    const failed = events.filter(
      (end) => end.kind === 'end' && end.task === task && end.how === 'failed' && end.at <= at,
    );
    const noted = failed.filter((end) =>
      events.some(
        (event) => event.kind === 'noted' && event.task === task && event.run === end.run,
      ),
    );
    if (noted.length >= ATTEMPTS)
      broken.push(`BUDGET: run ${run} of ${task} starts after ${noted.length} failed runs`);
  }
  return broken;
}

await runCase(process.argv[2], async (deployment, hasTrouble) => {
  await deployment.start({
    configuration: createConfiguration(10, [QUEUE, OTHER]),
    runners: [{ name: 'r-1' }, { name: 'r-2' }, { name: 'r-3' }],
  });
  const steps = [{ count: 1, cpu: 1_000, mem_mb: 256, est_runtime_ms: 3_000 }];
  // The job cannot be done: each run of its task fails after 3 s.
  await deployment.submit('/builds/', JOB, steps, [{ ms: 3_000, fails: true }]);
  for (let job = 0; job < SOUND_JOBS; job += 1)
    await deployment.submit('/builds/', `00000000000000${10 + job}`, steps, [{ ms: 500 }]);
  await delay(1_000);
  if (hasTrouble) deployment.configure(createConfiguration(17, [OTHER]));
  await delay(20_000);
  return listBroken(deployment);
});
