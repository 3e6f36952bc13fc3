import { describe, expect, it } from 'vitest';
import type { Model } from '../../specs/explorer.ts';
import { Explorer } from '../../specs/explorer.ts';
import type { RequestState } from '../../specs/requestProtocol.ts';
import { CorrectRequestRules, RequestProtocol } from '../../specs/requestProtocol.ts';
import type { ConfigurationState } from '../../specs/configurationProtocol.ts';
import {
  ConfigurationProtocol,
  CorrectConfigurationRules,
} from '../../specs/configurationProtocol.ts';
import type { Tick } from '../../src/base/common/system.ts';
import { System } from '../../src/base/common/system.ts';
import type { AgentState } from '../../src/model/agentState.ts';
import type { EntryState } from '../../src/model/entryState.ts';
import { AttemptSystem } from '../../src/systems/attempts/attemptSystem.ts';
import { parseStoredConfiguration } from '../../src/systems/configuration/applyConfiguration.ts';
import { ConfigurationReadSystem } from '../../src/systems/configuration/configurationReadSystem.ts';
import { ConfigurationReplay } from './configurationReplay.ts';
import { RequestReplay } from './requestReplay.ts';

const MAX_STATES = 400_000;

/**
 * Shortest traces to every `step`-th reachable state, each followed by every step that is possible
 * there: a step that changes nothing in the model, such as a late answer, is on no shortest trace.
 */
function findTraces<State>(model: Model<State>, step: number): string[][] {
  const explorer = Explorer.create(model);
  explorer.run(MAX_STATES);
  let count = 0;
  const traces = explorer.findTraces(() => (count += 1) % step === 0, MAX_STATES);
  return traces.flatMap((trace) => {
    const labels = model.listSteps(findState(model, trace)).map(({ label }) => label);
    return [trace, ...[...new Set(labels)].map((label) => [...trace, label])];
  });
}

function findState<State>(model: Model<State>, trace: readonly string[]): State {
  return trace.reduce(
    (state, label) => model.listSteps(state).find((step) => step.label === label)!.state,
    model.createInitial(),
  );
}

/** Follows a trace in the model and hands each step with the state after it to the replay. */
function runTrace<State>(
  model: Model<State>,
  trace: readonly string[],
  replay: { run(label: string, after: State): void },
): void {
  let state = model.createInitial();
  for (const label of trace) {
    const step = model.listSteps(state).find((candidate) => candidate.label === label);
    if (step === undefined) throw new Error(`the model cannot take the step: ${label}`);
    state = step.state;
    replay.run(label, state);
  }
}

/** Forgets rejections, so that a late copy of a rejected attempt runs. */
class ForgetfulAttemptSystem extends System<AgentState> {
  override readonly name = 'forgetfulAttempt';
  private readonly inner = AttemptSystem.create();

  override run(state: AgentState, tick: Tick): void {
    this.inner.run(state, tick);
    for (const { id, reply } of state.attempts.list())
      if (reply?.outcome.kind === 'rejected') state.attempts.remove(id);
  }
}

/** Puts every stored configuration in force that an answer carries, also an older one. */
class RevertingReadSystem extends System<EntryState> {
  override readonly name = 'revertingRead';
  private readonly inner = ConfigurationReadSystem.create();

  override run(state: EntryState, tick: Tick): void {
    const replies = [...state.inbox.list('storeReply')];
    this.inner.run(state, tick);
    for (const { reply } of replies) {
      if (reply.kind !== 'entry' || reply.entry.version === 0) continue;
      const stored = parseStoredConfiguration(state, reply.entry);
      if (stored !== undefined) state.configuration.current = stored;
    }
  }
}

describe('replay of the specification on the code', () => {
  describe('request protocol', () => {
    const model: Model<RequestState> = RequestProtocol.create(new CorrectRequestRules());
    const traces = findTraces(model, 40);

    it('does not let agents run, reject or answer an attempt otherwise than specified', () => {
      expect(traces.length).toBeGreaterThan(1_000);
      for (const trace of traces)
        runTrace(
          model,
          trace,
          RequestReplay.create(() => AttemptSystem.create()),
        );
    });

    it('does not pass an agent that forgets its rejections', () => {
      expect(() => {
        for (const trace of traces)
          runTrace(
            model,
            trace,
            RequestReplay.create(() => new ForgetfulAttemptSystem()),
          );
      }).toThrow('records of agent');
    });
  });

  describe('configuration protocol', () => {
    const model: Model<ConfigurationState> = ConfigurationProtocol.create(
      new CorrectConfigurationRules(),
    );
    const traces = findTraces(model, 20);

    it('does not let entries accept, answer or read a revision otherwise than specified', () => {
      expect(traces.length).toBeGreaterThan(1_000);
      for (const trace of traces)
        runTrace(
          model,
          trace,
          ConfigurationReplay.create(() => ConfigurationReadSystem.create()),
        );
    });

    it('does not pass an entry that goes back to an older revision', () => {
      expect(() => {
        for (const trace of traces)
          runTrace(
            model,
            trace,
            ConfigurationReplay.create(() => new RevertingReadSystem()),
          );
      }).toThrow('revision of reader');
    });
  });
});
