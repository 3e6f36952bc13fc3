import { describe, expect, it } from 'vitest';
import { isSuspect } from '../../../src/systems/membership/endpointHealth.ts';
import { addHanbitAgent, createHanbitLinks, getEntryInfo } from '../../support/hanbitLinks.ts';

describe('membership', () => {
  describe('entry list', () => {
    it('does not miss an entry that registers later', () => {
      const { links, entries } = createHanbitLinks({ entries: 2, agents: 1 });
      links.addEntry(getEntryInfo(2));
      links.runFor(4_000);
      expect(entries[0]!.state.entries.size).toBe(3);
    });

    it('does not keep an entry that crashed', () => {
      const { links, entries } = createHanbitLinks({ entries: 3, agents: 0 });
      entries[2]!.dispose();
      links.runFor(9_000);
      expect(entries[0]!.state.entries.list().map((entry) => entry.id)).toEqual([
        'entry-0',
        'entry-1',
      ]);
    });

    it('does not remove entries while the store is down', () => {
      const { links, entries } = createHanbitLinks({ entries: 3, agents: 0 });
      links.storeMode = 'down';
      links.runFor(60_000);
      expect(entries[0]!.state.entries.size).toBe(3);
      links.storeMode = 'up';
      links.runFor(10_000);
      expect(entries[0]!.state.entries.size).toBe(3);
    });

    it('does not omit the own entry before its registration is confirmed', () => {
      const { links } = createHanbitLinks({ entries: 1, agents: 0 });
      links.storeMode = 'down';
      const late = links.addEntry(getEntryInfo(4));
      links.runFor(10);
      expect(late.state.entries.has('entry-4')).toBe(true);
    });
  });

  describe('endpoints', () => {
    it('is not missing at entries other than the home entry', () => {
      const { entries } = createHanbitLinks({ entries: 3, agents: 6 });
      for (const entry of entries) expect(entry.state.endpoints.size).toBe(6);
    });

    it('does not become suspect at any entry while its agent exchanges', () => {
      const { links, entries } = createHanbitLinks({ entries: 3, agents: 6 });
      for (let step = 0; step < 200; step += 1) {
        links.runFor(100);
        for (const entry of entries) {
          for (const endpoint of entry.state.endpoints.values())
            expect(isSuspect(endpoint, links.clock.now)).toBe(false);
        }
      }
    });

    it('is suspect after 4 s and removed after 10 s without exchanges of its agent', () => {
      const { links, entries, agents } = createHanbitLinks({ entries: 2, agents: 2 });
      agents[0]!.dispose();
      links.runFor(6_000);
      for (const entry of entries)
        expect(isSuspect(entry.state.endpoints.get('agent-0/kit')!, links.clock.now)).toBe(true);
      links.runFor(6_000);
      for (const entry of entries) expect(entry.state.endpoints.has('agent-0/kit')).toBe(false);
    });

    it('is draining at every entry 2 s after its agent starts to leave', () => {
      const { links, entries, agents } = createHanbitLinks({ entries: 3, agents: 6 });
      agents[3]!.receive({ kind: 'stopRequested' });
      links.runFor(2_000);
      for (const entry of entries)
        expect(entry.state.endpoints.get('agent-3/kit')?.draining ?? true).toBe(true);
    });

    it('does not keep the row of the previous boot after its agent restarts', () => {
      const { links, entries, agents } = createHanbitLinks({ entries: 2, agents: 1 });
      agents[0]!.dispose();
      const seeds = entries.map((entry) => entry.state.self.info.address);
      const again = addHanbitAgent(links, 0, seeds);
      Object.assign(again.state.self, { bootId: 'boot-again' });
      links.runFor(3_000);
      for (const entry of entries)
        expect(entry.state.endpoints.get('agent-0/kit')?.agentBootId).toBe('boot-again');
    });

    it('is not missing when 20 % of the messages are lost', () => {
      const { entries } = createHanbitLinks(
        { entries: 3, agents: 6 },
        { seed: 7, delayMs: 4, lossRate: 0.2 },
      );
      for (const entry of entries) expect(entry.state.endpoints.size).toBe(6);
    });
  });

  describe('home entry of an agent', () => {
    it('does not make its endpoint suspect or lose it when the home entry crashes', () => {
      const { links, entries, agents } = createHanbitLinks({ entries: 2, agents: 1 });
      const home = entries.find((entry) => entry.state.homeAgents.size > 0)!;
      const other = entries.find((entry) => entry !== home)!;
      home.dispose();
      let suspectMs = 0;
      for (let step = 0; step < 200; step += 1) {
        links.runFor(100);
        const endpoint = other.state.endpoints.get('agent-0/kit');
        expect(endpoint).toBeDefined();
        if (isSuspect(endpoint!, links.clock.now)) suspectMs += 100;
      }
      expect(suspectMs).toBe(0);
      expect(agents[0]!.state.entries.has(home.state.self.info.id)).toBe(false);
    });

    it('does not exchange more often than every 100 ms when endpoints change continuously', () => {
      const { links, agents } = createHanbitLinks({ entries: 1, agents: 1 });
      agents[0]!.effects.length = 0;
      for (let step = 0; step < 100; step += 1) {
        const announcement = {
          name: 'kit',
          service: 'kit',
          origin: `http://127.0.0.1:${9_000 + step}`,
          slots: 8,
          connections: 60,
        };
        agents[0]!.receive({ kind: 'endpointAnnounced', announcement });
        links.runFor(10);
      }
      const sent = agents[0]!.effects.filter((effect) => effect.kind === 'sendExchange');
      expect(sent.length).toBeLessThanOrEqual(11);
    });

    it('does not apply an exchange that is older than the last one', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 1 });
      const { state } = entries[0]!;
      entries[0]!.receive({
        kind: 'exchange',
        callId: 'late',
        request: {
          agentId: 'agent-0',
          agentBootId: 'boot-0',
          agentAddress: '',
          region: 'kr-south',
          zone: 'busan-a',
          seq: 1,
          waitMs: 0,
          configRevision: 1,
          entriesDigest: 0,
          epoch: 0,
          endpoints: [],
        },
      });
      links.runFor(1);
      expect(state.endpoints.has('agent-0/kit')).toBe(true);
      expect(state.counters.get('stale_exchanges')).toBe(1);
    });

    it('adds a link to the owner of the shard only for an agent with a worker', () => {
      const { links, entries } = createHanbitLinks({ entries: 3, agents: 0 });
      const ownerAddress = entries[2]!.state.self.info.address;
      for (const entry of entries)
        entry.state.duties.set({
          id: 'kr-south',
          phase: 'watching',
          epoch: 1,
          ownerId: 'entry-2',
          ownerAddress,
          confirmedMs: 0,
          takenMs: 0,
          inheritedUntilMs: 0,
        });
      const identity = {
        id: 'agent-9',
        bootId: 'b',
        address: '10.0.1.9:1',
        region: 'kr-south',
        zone: 'busan-a',
        seedAddresses: ['10.0.0.0:7100'],
      };
      const plain = links.addAgent({ ...identity, hasWorker: false });
      const worker = links.addAgent({ ...identity, id: 'agent-8', hasWorker: true });
      const status = {
        workerId: 'worker-8',
        bootId: 'w',
        rack: 'r',
        capacity: { cores: 1, memoryMb: 1, accelerators: 0 },
        clockMs: 0,
        runs: [],
        samples: [],
      };
      worker.state.worker = { status, requestedMs: 0, receivedMs: 0 };
      links.runFor(5_000);
      expect(plain.state.links.size).toBe(1);
      expect(worker.state.links.has(ownerAddress)).toBe(true);
    });
  });

  describe('graceful shutdown of an entry', () => {
    it('does not leave its key in the entry list or its agents without a home entry', () => {
      const { links, entries, agents } = createHanbitLinks({ entries: 2, agents: 4 });
      entries[1]!.receive({ kind: 'stopRequested' });
      links.runFor(3_000);
      expect(entries[1]!.effects.some((effect) => effect.kind === 'exit')).toBe(true);
      entries[1]!.dispose();
      links.runFor(4_000);
      expect(entries[0]!.state.entries.has('entry-1')).toBe(false);
      for (const agent of agents)
        expect([...agent.state.links.values()].map((link) => link.id)).toContain(
          entries[0]!.state.self.info.address,
        );
    });

    it('does not close the listener before the load balancer can detect that it is leaving', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      entries[0]!.receive({ kind: 'stopRequested' });
      links.runFor(1_900);
      expect(entries[0]!.effects.some((effect) => effect.kind === 'closeFront')).toBe(false);
      links.runFor(200);
      expect(entries[0]!.effects.some((effect) => effect.kind === 'closeFront')).toBe(true);
    });
  });
});
