import { describe, expect, it } from 'vitest';
import type { Response } from '../../../src/model/request.ts';
import {
  DEDUPLICATION_WINDOW_MS,
  listKeyReplicas,
  listRegionMembers,
} from '../../../src/systems/keys/keyReplicas.ts';
import { OK } from '../fakeEndpoint.ts';
import { FakeNetwork } from '../fakeNetwork.ts';

const KEY = { idempotencyKey: 'k1' };
const KEY_ID = 'kit/k1';

function createNetwork(entries = 3): FakeNetwork {
  const network = new FakeNetwork(5);
  network.addAgent('a1', 'boot-1');
  for (let index = 1; index <= entries; index += 1) {
    network.addEntry(`e${index}`, {}, `zone-${index % 2}`);
    network.registerEndpoint(`e${index}`, 'a1');
  }
  return network;
}

function getRecord(network: FakeNetwork, entryId: string) {
  return network.entries.get(entryId)?.state.keys.get(KEY_ID);
}

function listReplicaIds(network: FakeNetwork): string[] {
  const members = listRegionMembers(network.entries.get('e1')!.state);
  return listKeyReplicas(KEY_ID, members).map(({ id }) => id);
}

describe('an idempotency key', () => {
  describe('of a request that is repeated', () => {
    it('does not run it again at another entry, which returns the same response', () => {
      const network = createNetwork();
      network.sendRequest('e1', 'r1', KEY);
      network.runFor(1_000);
      network.sendRequest('e2', 'r2', { ...KEY, isRepeat: true });
      network.runFor(1_000);
      expect(network.answers.get('r2')).toEqual(OK);
      expect([...network.runs]).toEqual([['r1', 1]]);
    });

    it('does not run it while the first request is running', () => {
      const network = createNetwork();
      network.endpointBehaviour = () => ({
        afterMs: 300,
        outcome: { kind: 'response', response: OK },
      });
      network.sendRequest('e1', 'r1', KEY);
      network.runFor(50);
      network.sendRequest('e3', 'r2', KEY);
      network.runFor(50);
      expect(network.answers.get('r2')).toMatchObject({ kind: 'request_in_progress' });
    });

    it('does not return the response to a different request with the same key', () => {
      const network = createNetwork();
      network.sendRequest('e1', 'r1', KEY);
      network.runFor(1_000);
      network.sendRequest('e1', 'r2', { ...KEY, path: '/other' });
      network.runFor(1_000);
      expect(network.answers.get('r2')).toMatchObject({ kind: 'key_reused' });
    });

    it('does not return a response that was too large to store', () => {
      const network = createNetwork();
      const response: Response = { ...OK, body: new Uint8Array(32 * 1024 + 1) };
      network.endpointBehaviour = () => ({ afterMs: 5, outcome: { kind: 'response', response } });
      network.sendRequest('e1', 'r1', KEY);
      network.runFor(1_000);
      network.sendRequest('e2', 'r2', KEY);
      network.runFor(1_000);
      expect(network.answers.get('r2')).toMatchObject({ kind: 'outcome_unknown' });
    });

    it('is not lost when its caller disconnects while it runs', () => {
      const network = createNetwork();
      network.endpointBehaviour = () => ({
        afterMs: 300,
        outcome: { kind: 'response', response: OK },
      });
      network.sendRequest('e1', 'r1', KEY);
      network.runFor(50);
      network.sendToEntry('e1', { kind: 'callerGone', requestId: 'r1' });
      network.runFor(1_000);
      network.sendRequest('e2', 'r2', KEY);
      network.runFor(1_000);
      expect(network.answers.get('r2')).toEqual(OK);
      expect(network.runs.get('r2')).toBeUndefined();
    });
  });

  describe('of a request that did not run', () => {
    it('is not blocked for the next request', () => {
      const network = createNetwork();
      for (const { state } of network.entries.values()) state.endpoints.clear();
      network.sendRequest('e1', 'r1', KEY);
      network.runFor(1_000);
      expect(network.answers.get('r1')).toMatchObject({ kind: 'no_endpoint' });
      network.registerEndpoint('e2', 'a1');
      network.sendRequest('e2', 'r2', KEY);
      network.runFor(1_000);
      expect(network.answers.get('r2')).toEqual(OK);
    });
  });

  describe('holders', () => {
    it('both store a claim before its request runs, and are in different zones', () => {
      const network = createNetwork();
      let copies = 0;
      network.endpointBehaviour = () => {
        copies = listReplicaIds(network).filter((id) => getRecord(network, id)).length;
        return { afterMs: 5, outcome: { kind: 'response', response: OK } };
      };
      network.sendRequest('e1', 'r1', KEY);
      network.runFor(1_000);
      expect(copies).toBe(2);
      const zones = listReplicaIds(network).map(
        (id) => network.entries.get(id)?.state.self.info.zone,
      );
      expect(new Set(zones).size).toBe(2);
    });

    it('do not lose the record when they crash one after the other', () => {
      const network = createNetwork(4);
      network.sendRequest('e1', 'r1', KEY);
      network.runFor(1_000);
      for (let crash = 0; crash < 2; crash += 1) {
        network.entries.delete(listKeyReplicas(KEY_ID, listEntryInfos(network))[0]!.id);
        network.setMembership([...network.entries.keys()]);
        for (const id of network.entries.keys())
          network.sendToEntry(id, { kind: 'peerReply', callId: '', reply: undefined });
        network.runFor(2_000);
      }
      const entryId = [...network.entries.keys()][0]!;
      network.sendRequest(entryId, 'r2', KEY);
      network.runFor(2_000);
      expect(network.answers.get('r2')).toEqual(OK);
      expect(network.runs.get('r2')).toBeUndefined();
    });

    it('do not let a declared repeat run without the full history of the deduplication window', () => {
      const network = createNetwork();
      network.sendRequest('e1', 'r1', { ...KEY, isRepeat: true });
      network.runFor(1_000);
      expect(network.answers.get('r1')).toMatchObject({ kind: 'outcome_unknown' });
      network.sendRequest('e1', 'r2', KEY);
      network.runFor(DEDUPLICATION_WINDOW_MS + 1_000);
      // The fake agent sends no exchanges, so its endpoint has expired and is registered again.
      network.registerEndpoint('e1', 'a1');
      network.sendRequest('e1', 'r3', { idempotencyKey: 'k2', isRepeat: true });
      network.runFor(1_000);
      expect(network.answers.get('r2')).toEqual(OK);
      expect(network.answers.get('r3')).toEqual(OK);
    });

    it('do not let a declared repeat run when its claim is resent after a lost copy', () => {
      const network = createNetwork(2);
      network.runFor(1_000);
      const [primary, secondary] = listReplicaIds(network);
      network.entries.delete(secondary!);
      network.sendRequest(primary!, 'r1', { ...KEY, isRepeat: true });
      network.runFor(3_000);
      network.addEntry(secondary!, {}, `zone-${secondary}`);
      network.registerEndpoint(secondary!, 'a1');
      network.runFor(5_000);
      expect(network.answers.get('r1')).toMatchObject({ kind: 'outcome_unknown' });
      expect(network.runs.get('r1')).toBeUndefined();
    });

    it('do not call the primary for a request without a key', () => {
      const network = createNetwork();
      network.sendRequest('e1', 'r1');
      network.runFor(1_000);
      // Entries also exchange endpoint syncs without any request.
      expect(network.peerCalls.filter((call) => !call.endsWith(' sync'))).toEqual([]);
    });
  });
});

function listEntryInfos(network: FakeNetwork) {
  return [...network.entries.values()].map(({ state }) => state.self.info);
}
