import { describe, expect, it } from 'vitest';
import type { Exploration, Model } from '../../specs/explorer.ts';
import { Explorer, formatExploration } from '../../specs/explorer.ts';
import * as broken from '../../specs/brokenRules.ts';
import {
  ConfigurationProtocol,
  CorrectConfigurationRules,
} from '../../specs/configurationProtocol.ts';
import { CorrectRequestRules, RequestProtocol } from '../../specs/requestProtocol.ts';
import { TaskProtocol } from '../../specs/taskProtocol.ts';
import type { ProtocolRules } from '../../specs/taskRules.ts';
import { CorrectTaskRules } from '../../specs/taskRules.ts';

const MAX_STATES = 400_000;

function explore<State>(model: Model<State>): Exploration {
  const result = Explorer.create(model).run(MAX_STATES);
  process.stdout.write(`${formatExploration(result)}\n`);
  return result;
}

describe('protocol specification', () => {
  describe('with the correct rules', () => {
    it('does not let a task run twice over takeovers, lost answers and lapsed leases', () => {
      const result = explore(
        TaskProtocol.create(new CorrectTaskRules(), {
          hasEviction: false,
          hasZoneOut: false,
          maxIncarnation: 2,
          maxEpoch: 2,
        }),
      );
      expect(result.violation).toBeUndefined();
      expect(result.states).toBe(112_347);
    });

    it('does not resume an evicted task twice or before its stop is proven', () => {
      const result = explore(
        TaskProtocol.create(new CorrectTaskRules(), {
          hasEviction: true,
          hasZoneOut: false,
          maxIncarnation: 2,
          maxEpoch: 1,
        }),
      );
      expect(result.violation).toBeUndefined();
      expect(result.states).toBe(8_529);
    });

    it('does not start a task in a zone that has been out for longer than the bound', () => {
      const result = explore(
        TaskProtocol.create(new CorrectTaskRules(), {
          hasEviction: false,
          hasZoneOut: true,
          maxIncarnation: 1,
          maxEpoch: 2,
        }),
      );
      expect(result.violation).toBeUndefined();
      expect(result.states).toBe(122_324);
    });

    it('does not run a non-idempotent request twice or refuse falsely', () => {
      const result = explore(RequestProtocol.create(new CorrectRequestRules()));
      expect(result.violation).toBeUndefined();
      expect(result.states).toBe(26_035);
    });

    it('does not revert a configuration or lie to an operator', () => {
      const result = explore(ConfigurationProtocol.create(new CorrectConfigurationRules()));
      expect(result.violation).toBeUndefined();
      expect(result.states).toBe(10_428);
    });
  });

  describe('with one rule broken', () => {
    const taskRules: [ProtocolRules, string][] = [
      [new broken.StartBeforeWrite(), 'no start before the write is in'],
      [new broken.ResumeWithoutLeaseWait(), 'no task runs in two places at once'],
      [new broken.BlindRepeat(), 'no start before the write is in'],
      [new broken.StaleOwnerNotFenced(), 'no start before the write is in'],
      [new broken.ZoneCheckLeftOut(), 'no start in a zone that has been out for long'],
    ];
    it.each(taskRules.map(([rules, promise]) => ({ name: rules.name, rules, promise })))(
      'catches: $name',
      ({ rules, promise }) => {
        const options = {
          hasEviction: false,
          hasZoneOut: rules instanceof broken.ZoneCheckLeftOut,
          maxIncarnation: 2,
          maxEpoch: 2,
        };
        const result = explore(TaskProtocol.create(rules, options));
        expect(result.violation?.promise).toBe(promise);
        expect(result.violation?.trace.length).toBeGreaterThan(0);
      },
    );

    const requestRules = [
      new broken.RetryOfUnknown(),
      new broken.ForgottenRejection(),
      new broken.BootNotChecked(),
      new broken.ClaimLeftOut(),
      new broken.CopiesNotJoined(),
    ];
    it.each(requestRules.map((rules) => ({ name: rules.name, rules })))(
      'catches: $name',
      ({ rules }) => {
        expect(explore(RequestProtocol.create(rules)).violation?.promise).toBe(
          'a non-idempotent request runs at most once',
        );
      },
    );

    it('catches: older revision applied', () => {
      expect(
        explore(ConfigurationProtocol.create(new broken.OlderRevisionApplied())).violation?.promise,
      ).toBe('an accepted configuration never reverts');
    });

    it('catches: edit repeated blindly', () => {
      expect(
        explore(ConfigurationProtocol.create(new broken.EditRepeatedBlindly())).violation?.promise,
      ).toBe('an edit is accepted at most once');
    });
  });
});
