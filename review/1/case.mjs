import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { runCase } from '../lib/deployment.mjs';

const ATTEMPTS = 2;
const JOB = '91c2a05fe77b3d46';
const RUNNERS = 12;
/** Two members for each runner. */
const MEMBERS = 24;

const CONFIGURATION = {
  version: 10,
  routes: [
    {
      name: 'guides',
      host: 'nony24.example',
      prefix: '/guides/',
      service: 'svc',
      priority: 0,
      attempts: ATTEMPTS,
      stretch: 2,
      slo_ms: 1_000,
    },
  ],
  services: [{ name: 'svc' }],
  limits: { max_body_bytes: 262_144 },
};

/** A gang fails once with each run that has an end `failed`, however many members ended so. */
function countFailedRuns({ events }) {
  const failed = events.filter(({ kind, how }) => kind === 'end' && how === 'failed');
  return new Set(failed.map(({ run }) => run)).size;
}

await runCase(process.argv[2], async (deployment, hasTrouble) => {
  await deployment.start({
    configuration: CONFIGURATION,
    runners: Array.from({ length: RUNNERS }, (_, index) => ({ name: `r-${index + 1}` })),
  });
  // For 5 s one of twelve runners fails all that it starts.
  const grey = deployment.getRunner('r-2');
  grey.isFailing = hasTrouble;
  setTimeout(() => {
    grey.isFailing = false;
  }, 5_000);
  const step = { count: MEMBERS, cpu: 8_000, mem_mb: 1_024, est_runtime_ms: 2_000, gang: true };
  await deployment.submit('/guides/', JOB, [step], [{ ms: 2_000, gang: MEMBERS }]);
  await delay(5_000);
  const broken = [];
  for (let second = 0; second < 15; second += 1) {
    const { body } = await deployment.callEntry('GET', `/guides/${JOB}`);
    const failedRuns = countFailedRuns(deployment);
    if (body?.state === 'failed' && failedRuns < ATTEMPTS)
      broken.push(`LOST: shown as failed after ${failedRuns} failed run of its gang`);
    if (body?.state === 'completed' || broken.length > 0) break;
    await delay(1_000);
  }
  return broken;
});
