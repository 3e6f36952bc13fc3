import { describe, expect, it } from 'vitest';
import { MemoryLinks } from '../../../src/standins/memoryLinks.ts';
import { createHanbitLinks, getEntryInfo } from '../../support/hanbitLinks.ts';

const zoneOut = { kind: 'setZone', zone: 'busan-a', out: true } as const;

describe('propagation of an accepted configuration', () => {
  describe('working links', () => {
    it('does not wait for the next read or exchange', () => {
      const { links, entries, agents } = createHanbitLinks({ entries: 3, agents: 9 });
      links.runOperatorCall(entries[1]!, zoneOut);
      // Propagation takes the store's check of the watch, the reply of the watch and the reply of an
      // exchange; each message takes 4 ms.
      links.runFor(150);
      for (const entry of entries) expect(entry.state.configuration.current.revision).toBe(2);
      for (const agent of agents) expect(agent.state.config?.zonesOut).toEqual(['busan-a']);
    });
  });

  describe('a partitioned entry', () => {
    it('does not keep an old revision after the link recovers', () => {
      const { links, entries } = createHanbitLinks({ entries: 2, agents: 0 });
      const { address } = entries[1]!.state.self.info;
      links.partitionedAddresses.add(address);
      links.runOperatorCall(entries[0]!, zoneOut);
      links.runFor(20_000);
      expect(entries[1]!.state.configuration.current.revision).toBe(1);
      links.partitionedAddresses.clear();
      links.runFor(2_100);
      expect(entries[1]!.state.configuration.current.revision).toBe(2);
    });

    it('does not need the store when a peer reports a greater revision', () => {
      const { links, entries } = createHanbitLinks({ entries: 2, agents: 1 });
      const { address } = entries[1]!.state.self.info;
      links.partitionedAddresses.add(address);
      links.runOperatorCall(entries[0]!, zoneOut);
      links.storeMode = 'down';
      links.partitionedAddresses.clear();
      links.runFor(7_000);
      expect(entries[1]!.state.configuration.current.revision).toBe(2);
    });
  });

  describe('a new entry without a configuration in the store', () => {
    it('does not treat a missing key as an invalid configuration', () => {
      const links = MemoryLinks.create({ seed: 1, delayMs: 4, lossRate: 0 });
      const late = links.addEntry(getEntryInfo(7));
      links.runFor(1_000);
      expect(late.state.self.phase).toBe('serving');
      expect(late.state.counters.get('configurations_invalid')).toBe(0);
    });
  });
});
