import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { BOUNDS, runCase } from '../lib/deployment.mjs';

const JOBS = 8;
const RUNNERS = 12;
/** The refusals last 6.4 s at most; the largest dose of `srv_grey` is 6.5 s. */
const GREY_MS = 6_400;
const WAITED_MS = BOUNDS.visible_ms + 2_000;

const CONFIGURATION = {
  version: 10,
  routes: [
    {
      name: 'builds',
      host: 'nony24.example',
      prefix: '/builds/',
      service: 'svc',
      priority: 0,
      attempts: 2,
      stretch: 1.5,
      slo_ms: 300,
    },
  ],
  services: [{ name: 'svc' }],
  limits: { max_body_bytes: 262_144 },
};

/** Asks for the queue's count, and compares it with the jobs that wait for their first start. */
async function checkCount(deployment, accepted, entry) {
  const sentAt = deployment.now;
  const { status, body } = await deployment.callEntry('GET', '/builds/', undefined, entry);
  const begun = new Set(
    deployment.events.filter(({ kind }) => kind === 'start').map(({ task }) => task.split('.')[0]),
  );
  const waiting = accepted.filter(({ id, at }) => sentAt - at > WAITED_MS && !begun.has(id)).length;
  if (status !== 200 || body.waiting >= waiting / 2) return [];
  return [`MIXED: ${body.waiting} jobs are said to wait, ${waiting} wait for over ${WAITED_MS} ms`];
}

await runCase(process.argv[2], async (deployment, hasTrouble) => {
  const names = Array.from({ length: RUNNERS }, (_, index) => `r-${index + 1}`);
  await deployment.start({
    configuration: CONFIGURATION,
    runners: names.map((name) => ({ name, labels: name === 'r-1' ? ['a', 'large'] : ['a'] })),
  });
  const grey = deployment.getRunner('r-1');
  if (hasTrouble) grey.chooseFault = (path) => (path === 'run-start' ? 'busy' : undefined);
  const greyUntil = deployment.now + GREY_MS;
  setTimeout(() => {
    grey.chooseFault = () => undefined;
  }, GREY_MS);
  const accepted = [];
  const step = {
    count: 1,
    cpu: 1_000,
    mem_mb: 256,
    est_runtime_ms: 1_000,
    required_label: 'large',
  };
  for (let job = 1; job <= JOBS; job += 1) {
    const id = `00000000000000${10 + job}`;
    if (await deployment.submit('/builds/', id, [step], [{ ms: 1_000 }]))
      accepted.push({ id, at: deployment.now });
  }
  const broken = [];
  while (deployment.now < greyUntil + 8_000) {
    for (const entry of [0, 1]) broken.push(...(await checkCount(deployment, accepted, entry)));
    await delay(250);
  }
  return broken;
});
