import { describe, expect, it } from 'vitest';
import { createFailure } from '../../../src/base/common/errors.ts';
import { createEntryState } from '../../../src/model/entryState.ts';
import { buildExplanation } from '../../../src/systems/operators/explanation.ts';
import { sendRefusal } from '../../../src/systems/requests/requestCompletion.ts';

describe('explanation', () => {
  describe('a refused request', () => {
    it('does not lose the reason of the refusal', () => {
      const info = { id: 'entry-0', region: 'r', zone: 'z', address: '10.0.0.1:1' };
      const state = createEntryState(info, 'boot');
      sendRefusal(state, 'request-1', createFailure('queue_full', 'the queue of route a is full'));
      expect(buildExplanation(state, 'request-1', 0).rows.refusals).toEqual({
        id: 'request-1',
        kind: 'queue_full',
        message: 'the queue of route a is full',
      });
    });

    it('does not retain more than 2 000 refusals', () => {
      const info = { id: 'entry-0', region: 'r', zone: 'z', address: '10.0.0.1:1' };
      const state = createEntryState(info, 'boot');
      for (let index = 0; index < 2_100; index += 1)
        sendRefusal(state, `request-${index}`, createFailure('queue_full', 'full'));
      expect(state.refusals.size).toBe(2_000);
      expect(state.refusals.has('request-2099')).toBe(true);
    });
  });
});
