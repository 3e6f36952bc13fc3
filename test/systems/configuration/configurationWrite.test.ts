import { describe, expect, it } from 'vitest';
import type { JsonAnswer } from '../../../src/model/effects.ts';
import { createHanbitLinks, getEntryInfo, loadHanbitTables } from '../../support/hanbitLinks.ts';

function getKind(answer: JsonAnswer): string {
  return answer.kind === 'failure' ? answer.failure.kind : 'value';
}

const zoneOut = { kind: 'setZone', zone: 'busan-a', out: true } as const;

describe('operator changes of the configuration', () => {
  describe('concurrent changes', () => {
    it('does not overwrite a change that the operator has not seen', () => {
      const { links, entries } = createHanbitLinks({ entries: 2, agents: 0 });
      const tables = loadHanbitTables();
      const call = { kind: 'applyConfig', baseRevision: 1, tables } as const;
      expect(getKind(links.runOperatorCall(entries[0]!, call))).toBe('value');
      const second = links.runOperatorCall(entries[1]!, call);
      expect(second).toMatchObject({
        kind: 'failure',
        failure: { kind: 'config_conflict' },
        details: { baseRevision: 1, currentRevision: 2 },
      });
    });

    it('does not lose one of two zone changes made at the same moment', () => {
      const { links, entries } = createHanbitLinks({ entries: 2, agents: 0 });
      for (const [index, zone] of [
        [0, 'busan-a'],
        [1, 'ulsan-b'],
      ] as const)
        entries[index]!.receive({
          kind: 'operatorCall',
          callId: `zone-${index}`,
          call: { kind: 'setZone', zone, out: true },
        });
      links.runFor(3_000);
      for (const entry of entries) {
        expect([...entry.state.configuration.current.zonesOut].sort()).toEqual([
          'busan-a',
          'ulsan-b',
        ]);
        expect(entry.state.configuration.current.revision).toBe(3);
      }
    });
  });

  describe('a store that loses replies', () => {
    it('does not report failure for a write that took effect', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      links.storeMode = 'losesWrites';
      const answer = links.runOperatorCall(entries[0]!, zoneOut);
      expect(answer).toEqual({ kind: 'value', value: { revision: 2, changed: true } });
    });

    it('does not report success or failure for a write that cannot be read back', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      links.storeMode = 'losesWrites';
      entries[0]!.receive({ kind: 'operatorCall', callId: 'lost', call: zoneOut });
      links.runFor(20);
      links.storeMode = 'down';
      links.runFor(9_000);
      const answers = entries[0]!.effects.filter((effect) => effect.kind === 'answerOperator');
      expect(answers.at(-1)).toMatchObject({
        callId: 'lost',
        answer: { kind: 'failure', failure: { kind: 'outcome_unknown' } },
      });
    });
  });

  describe('a store that is down', () => {
    it('does not leave the operator without an answer', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      links.storeMode = 'down';
      expect(getKind(links.runOperatorCall(entries[0]!, zoneOut))).toBe('store_unavailable');
      expect(entries[0]!.state.configuration.current.revision).toBe(1);
    });
  });

  describe('invalid input', () => {
    it('does not take an unknown zone out of service', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      const answer = links.runOperatorCall(entries[0]!, { ...zoneOut, zone: 'busan-z' });
      expect(answer).toMatchObject({
        failure: { kind: 'config_invalid' },
        details: [{ path: 'zone' }],
      });
    });

    it('does not accept tables with invalid references', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      const tables = { ...loadHanbitTables(), pools: [] };
      const answer = links.runOperatorCall(entries[0]!, {
        kind: 'applyConfig',
        baseRevision: 1,
        tables,
      });
      expect(answer).toMatchObject({
        failure: { kind: 'config_invalid' },
        details: [{ path: 'routes[0].pool' }, { path: 'routes[1].pool' }],
      });
    });
  });

  describe('a zone that is already in the requested state', () => {
    it('does not create a revision', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      links.runOperatorCall(entries[0]!, zoneOut);
      const answer = links.runOperatorCall(entries[0]!, zoneOut);
      expect(answer).toEqual({ kind: 'value', value: { revision: 2, changed: false } });
    });
  });
});

describe('configuration in force', () => {
  describe('confirmation by the store', () => {
    it('does not use the arrival time of the reply as the confirmation time', () => {
      const { links, entries } = createHanbitLinks(
        { entries: 1, agents: 0 },
        { seed: 1, delayMs: 400, lossRate: 0 },
      );
      links.runFor(5_000);
      const { confirmedSentMs } = entries[0]!.state.configuration;
      expect(links.clock.now - confirmedSentMs!).toBeGreaterThanOrEqual(800);
    });

    it('does not advance the confirmation time while the store is down', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      links.storeMode = 'down';
      const before = links.clock.now;
      links.runFor(5_000);
      expect(entries[0]!.state.configuration.confirmedSentMs!).toBeLessThanOrEqual(before);
    });

    it('does not exceed two store calls per second', () => {
      const { links } = createHanbitLinks({ entries: 1, agents: 0 });
      links.storeCallCounts.clear();
      links.runFor(60_000);
      const calls =
        (links.storeCallCounts.get('read') ?? 0) + (links.storeCallCounts.get('watch') ?? 0);
      expect(calls).toBeLessThanOrEqual(120);
    });
  });

  describe('a start without the store', () => {
    it('does not serve before a configuration is known', () => {
      const { links } = createHanbitLinks({ entries: 1, agents: 0 });
      links.storeMode = 'down';
      const late = links.addEntry(getEntryInfo(5));
      links.runFor(10_000);
      expect(late.state.self.phase).toBe('starting');
    });

    it('does not wait for the store when a peer has the configuration', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      links.runOperatorCall(entries[0]!, zoneOut);
      links.storeMode = 'down';
      const late = links.addEntry(getEntryInfo(5), [entries[0]!.state.self.info.address]);
      links.runFor(5_000);
      expect(late.state.self.phase).toBe('serving');
      expect(late.state.configuration.current.revision).toBe(2);
      expect(late.state.configuration.confirmedSentMs).toBeUndefined();
    });
  });

  describe('revisions', () => {
    it('does not revert to an older revision that arrives late', () => {
      const { links, entries } = createHanbitLinks({ entries: 1, agents: 0 });
      links.runOperatorCall(entries[0]!, zoneOut);
      const { state } = entries[0]!;
      const callId = 'configurationRead.read/late';
      state.calls.set({
        id: callId,
        system: 'configurationRead',
        purpose: 'read',
        subject: '',
        sentMs: links.clock.now,
      });
      const old = { ...state.configuration.current, revision: 1, zonesOut: [] };
      entries[0]!.receive({
        kind: 'storeReply',
        callId,
        reply: { kind: 'entry', entry: { key: 'config/current', version: 1, value: old } },
      });
      links.runFor(1);
      expect(state.configuration.current).toMatchObject({ revision: 2, zonesOut: ['busan-a'] });
    });
  });
});
