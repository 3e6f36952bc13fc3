import { describe, expect, it } from 'vitest';
import { listKeyReplicas, listRegionMembers } from '../../../src/systems/keys/keyReplicas.ts';
import { OK } from '../fakeEndpoint.ts';
import { FakeNetwork } from '../fakeNetwork.ts';

function createNetwork(): FakeNetwork {
  const network = new FakeNetwork(11);
  network.addAgent('a1', 'boot-1');
  for (const id of ['e1', 'e2', 'e3']) {
    network.addEntry(id, { deadlineMs: 60_000 }, id);
    network.registerEndpoint(id, 'a1');
  }
  return network;
}

describe('graceful shutdown of an entry', () => {
  describe('with requests in progress', () => {
    it('does not abort them and accepts new ones until the front is closed', () => {
      const network = createNetwork();
      network.endpointBehaviour = () => ({
        afterMs: 6_000,
        outcome: { kind: 'response', response: OK },
      });
      network.sendRequest('e1', 'r1');
      network.sendToEntry('e1', { kind: 'stopRequested' });
      network.runFor(1_000);
      network.sendRequest('e1', 'r2');
      network.runFor(2_000);
      network.sendRequest('e1', 'r3');
      expect(network.answers.get('r3')).toMatchObject({ kind: 'shutting_down' });
      expect(network.exits).toEqual([]);
      network.runFor(6_000);
      expect(network.answers.get('r1')).toEqual(OK);
      expect(network.answers.get('r2')).toEqual(OK);
      expect(network.exits).toEqual(['e1']);
    });

    it('does not exceed the timeout and reports an unknown outcome for a running request', () => {
      const network = createNetwork();
      network.endpointBehaviour = () => ({
        afterMs: 50_000,
        outcome: { kind: 'response', response: OK },
      });
      network.sendRequest('e1', 'r1');
      network.sendToEntry('e1', { kind: 'stopRequested' });
      network.runFor(31_000);
      expect(network.answers.get('r1')).toMatchObject({ kind: 'outcome_unknown' });
      expect(network.exits).toEqual(['e1']);
    });
  });

  describe('of a key replica', () => {
    it('does not lose the records of its keys', () => {
      const network = createNetwork();
      network.sendRequest('e1', 'r1', { idempotencyKey: 'k1' });
      network.runFor(1_000);
      const members = listRegionMembers(network.entries.get('e1')!.state);
      for (const { id } of listKeyReplicas('kit/k1', members)) {
        network.sendToEntry(id, { kind: 'stopRequested' });
        network.runFor(5_000);
        expect(network.exits).toContain(id);
        network.entries.delete(id);
        network.setMembership([...network.entries.keys()]);
      }
      const [last] = [...network.entries.keys()];
      network.sendRequest(last!, 'r2', { idempotencyKey: 'k1', isRepeat: true });
      network.runFor(1_000);
      expect(network.answers.get('r2')).toEqual(OK);
      expect(network.runs.get('r2')).toBeUndefined();
    });
  });
});
