import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../../../src/base/common/clock.ts';
import { Loop } from '../../../src/base/common/loop.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import type { EntryArrival, EntryEffect } from '../../../src/model/effects.ts';
import type { EntryState } from '../../../src/model/entryState.ts';
import { createEntryState } from '../../../src/model/entryState.ts';
import type { PeerReply } from '../../../src/model/peer.ts';
import { OperatorSystem } from '../../../src/systems/operators/operatorSystem.ts';

const EMPTY_EXPLANATION = { rows: {}, decisions: [] };
const KNOWN_EXPLANATION = { rows: { tasks: { id: 'replica-7' } }, decisions: [] };

describe('explain of a subject that is unknown to this entry', () => {
  let effects: EntryEffect[];
  let state: EntryState;
  let loop: Loop<EntryArrival, EntryEffect, EntryState>;

  function addOwnership(id: string, ownerId: string): void {
    state.duties.set({
      ...{ id, phase: 'watching', epoch: 1, ownerId, ownerAddress: `address-${ownerId}` },
      ...{ confirmedMs: 0, takenMs: 0, inheritedUntilMs: 0 },
    });
  }

  function explain(subject: string): void {
    const call = { kind: 'explain', subject } as const;
    loop.receive({ kind: 'operatorCall', callId: 'question', call });
    loop.runTick();
  }

  function listPeerCalls(): { address: string; callId: string }[] {
    return effects.filter((effect) => effect.kind === 'callPeer');
  }

  function reply(address: string, value: PeerReply | undefined): void {
    const { callId } = listPeerCalls().find((call) => call.address === address)!;
    loop.receive({ kind: 'peerReply', callId, reply: value });
    loop.runTick();
  }

  function listAnswers(): unknown[] {
    return effects
      .filter((effect) => effect.kind === 'answerOperator')
      .map(({ answer }) => (answer.kind === 'value' ? answer.value : answer.failure));
  }

  beforeEach(() => {
    effects = [];
    const info = { id: 'entry-0', region: 'r', zone: 'z', address: 'address-entry-0' };
    state = createEntryState(info, 'boot');
    loop = Loop.create<EntryArrival, EntryEffect, EntryState>({
      state,
      systems: [OperatorSystem.create()],
      clock: ManualClock.create(1_000),
      random: SeededRandom.create(1),
      handleEffect: (effect) => {
        effects.push(effect);
      },
    });
    addOwnership('north', 'entry-1');
    addOwnership('south', 'entry-2');
    addOwnership('west', 'entry-0');
    addOwnership('east', 'entry-1');
  });

  describe('calls to owners', () => {
    it('does not skip an owner, call itself or call an owner twice', () => {
      explain('replica-7');
      expect(listPeerCalls().map(({ address }) => address)).toEqual([
        'address-entry-1',
        'address-entry-2',
      ]);
    });
  });

  describe('answer', () => {
    it('does not complete with an empty explanation before all owners have replied', () => {
      explain('replica-7');
      reply('address-entry-1', { kind: 'json', value: EMPTY_EXPLANATION });
      expect(listAnswers()).toEqual([]);
      reply('address-entry-2', { kind: 'json', value: KNOWN_EXPLANATION });
      expect(listAnswers()).toEqual([KNOWN_EXPLANATION]);
      expect(state.calls.size).toBe(0);
    });

    it('does not answer twice', () => {
      explain('replica-7');
      reply('address-entry-2', { kind: 'json', value: KNOWN_EXPLANATION });
      reply('address-entry-1', { kind: 'json', value: KNOWN_EXPLANATION });
      expect(listAnswers()).toEqual([KNOWN_EXPLANATION]);
    });

    it('does not omit that an owner did not answer', () => {
      explain('replica-7');
      reply('address-entry-1', undefined);
      reply('address-entry-2', { kind: 'json', value: EMPTY_EXPLANATION });
      expect(listAnswers()).toMatchObject([
        { rows: {}, note: 'shard owners that did not answer: 1' },
      ]);
      expect(state.calls.size).toBe(0);
    });
  });

  describe('for a job', () => {
    it('does not call the owners of other shards for a job whose id contains its shard', () => {
      explain('south:0123');
      expect(listPeerCalls().map(({ address }) => address)).toEqual(['address-entry-2']);
    });
  });
});
