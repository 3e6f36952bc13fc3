import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../../../src/base/common/clock.ts';
import { Loop } from '../../../src/base/common/loop.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import type { EntryArrival, EntryEffect } from '../../../src/model/effects.ts';
import type { EntryState } from '../../../src/model/entryState.ts';
import { createEntryState } from '../../../src/model/entryState.ts';
import type { PeerReply } from '../../../src/model/peer.ts';
import { OperatorSystem } from '../../../src/systems/operators/operatorSystem.ts';

const EMPTY = { rows: {}, decisions: [] };
const KNOWN = { rows: { tasks: { id: 'replica-7' } }, decisions: [] };

describe('explain of a subject that this entry does not know', () => {
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

  function listAsked(): { address: string; callId: string }[] {
    return effects.filter((effect) => effect.kind === 'callPeer');
  }

  function reply(address: string, value: PeerReply | undefined): void {
    const { callId } = listAsked().find((call) => call.address === address)!;
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

  it('does not leave out a shard, ask itself or ask an owner twice', () => {
    explain('replica-7');
    expect(listAsked().map(({ address }) => address)).toEqual([
      'address-entry-1',
      'address-entry-2',
    ]);
  });

  it('does not take the first empty answer for the truth', () => {
    explain('replica-7');
    reply('address-entry-1', { kind: 'json', value: EMPTY });
    expect(listAnswers()).toEqual([]);
    reply('address-entry-2', { kind: 'json', value: KNOWN });
    expect(listAnswers()).toEqual([KNOWN]);
    expect(state.calls.size).toBe(0);
  });

  it('does not answer twice', () => {
    explain('replica-7');
    reply('address-entry-2', { kind: 'json', value: KNOWN });
    reply('address-entry-1', { kind: 'json', value: KNOWN });
    expect(listAnswers()).toEqual([KNOWN]);
  });

  it('does not hide that an owner is silent', () => {
    explain('replica-7');
    reply('address-entry-1', undefined);
    reply('address-entry-2', { kind: 'json', value: EMPTY });
    expect(listAnswers()).toMatchObject([
      { rows: {}, note: 'shard owners that did not answer: 1' },
    ]);
    expect(state.calls.size).toBe(0);
  });

  it('does not ask other shards about a job whose id names its shard', () => {
    explain('south:0123');
    expect(listAsked().map(({ address }) => address)).toEqual(['address-entry-2']);
  });
});
