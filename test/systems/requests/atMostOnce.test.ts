import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ERROR_ANSWERS } from '../../../src/base/common/errors.ts';
import { buildFailure, OK } from '../fakeEndpoint.ts';
import { FakeNetwork } from '../fakeNetwork.ts';

const SEED = 20_261_204;

/**
 * Runs random requests over faulty links while agents restart. Returns each request or key that ran
 * twice, each request without an answer and each false "not run" refusal.
 */
function runRandomHistory(seed: number, loss: number, duplicate: number, keyed: boolean): string[] {
  const network = new FakeNetwork(seed);
  Object.assign(network.faults, { loss, duplicate, maxDelayMs: 40 });
  network.endpointBehaviour = () => {
    const draw = network.random.takeUnit();
    const afterMs = network.random.takeUnit() * 60;
    if (draw < 0.1) return { afterMs, outcome: buildFailure(true) };
    if (draw < 0.2) return { afterMs, outcome: buildFailure(false) };
    return { afterMs, outcome: { kind: 'response', response: OK } };
  };
  for (const id of ['e1', 'e2', 'e3']) network.addEntry(id, { deadlineMs: 1_000 }, `z${id}`);
  for (const agent of ['a1', 'a2']) {
    network.addAgent(agent, 'boot-1');
    for (const entry of network.entries.keys()) network.registerEndpoint(entry, agent);
  }
  const sentRequests: string[] = [];
  const keys = new Map<string, string>();
  for (let index = 0; index < 25; index += 1) {
    const entry = `e${network.random.takeInt(1, 3)}`;
    const key = `k${network.random.takeInt(1, 8)}`;
    if (keyed) keys.set(`r${index}`, key);
    network.schedule(network.random.takeUnit() * 600, () => {
      sentRequests.push(`r${index}`);
      network.sendRequest(entry, `r${index}`, keyed ? { idempotencyKey: key } : {});
    });
  }
  for (const agent of ['a1', 'a2'])
    network.schedule(network.random.takeUnit() * 800, () => {
      network.restartAgent(agent, 'boot-2');
      for (const entry of network.entries.keys())
        network.schedule(network.random.takeUnit() * 200, () => {
          network.registerEndpoint(entry, agent);
        });
    });
  network.runFor(60_000);
  const runsByKey = new Map<string, number>();
  for (const [id, key] of keys)
    runsByKey.set(key, (runsByKey.get(key) ?? 0) + (network.runs.get(id) ?? 0));
  const repeatedKeys = [...runsByKey].filter(([, runs]) => runs > 1);
  const keyFaults = repeatedKeys.map(([key, runs]) => `key ${key} ran ${runs} times`);
  const requestFaults = sentRequests.flatMap((id) => {
    const runs = network.runs.get(id) ?? 0;
    const answer = network.answers.get(id);
    const faults = runs > 1 ? [`${id} ran ${runs} times`] : [];
    if (answer === undefined) faults.push(`${id} was not answered`);
    else if ('kind' in answer && ERROR_ANSWERS[answer.kind].ran === 'no' && runs > 0)
      faults.push(`${id} was refused as ${answer.kind} but ran`);
    return faults;
  });
  return [...keyFaults, ...requestFaults];
}

describe('a non-idempotent request', () => {
  describe('over links that lose, delay and duplicate messages while agents restart', () => {
    const linkFaults = fc.record({
      seed: fc.integer({ min: 1, max: 0x7ffffffe }),
      loss: fc.double({ min: 0, max: 0.5, noNaN: true }),
      duplicate: fc.double({ min: 0, max: 0.5, noNaN: true }),
      keyed: fc.boolean(),
    });

    it('does not run twice, nor does its key, and is never refused as "not run" after it ran', () => {
      fc.assert(
        fc.property(linkFaults, ({ seed, loss, duplicate, keyed }) => {
          expect(runRandomHistory(seed, loss, duplicate, keyed)).toEqual([]);
        }),
        { seed: SEED, numRuns: 150 },
      );
    });
  });
});
