import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentRecord } from '../../model/scheduler/jobRecord.ts';
import { STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import { logAgentEvent } from './agentCalls.ts';

const CALL_TIMEOUT_MS = 800;
const RETRY_DELAY_MS = 250;
/** Time for pending commands when the agent stops; runs continue under their leases. */
const STOP_TIMEOUT_MS = 400;

/**
 * Registers the agent in the store and stops it. Reads store replies and stop requests; writes `self`.
 * Runs last.
 */
export class AgentLifecycleSystem extends System<RunnerAgentState> {
  override readonly name = 'agentLife';

  private constructor() {
    super();
  }

  static create(): AgentLifecycleSystem {
    return new AgentLifecycleSystem();
  }

  override run(state: RunnerAgentState, tick: Tick): void {
    this.register(state, tick);
    const { self } = state;
    if (state.inbox.list('stopRequested').length > 0 && self.stopAt === Number.POSITIVE_INFINITY) {
      self.stopAt = tick.now + STOP_TIMEOUT_MS;
      logAgentEvent(state, 'info', 'agent_stopping', { orders: state.commands.size });
    }
    if (self.stopAt === Number.POSITIVE_INFINITY) return;
    const isFinished =
      state.commands.size === 0 && (self.isRegistered || state.workerExit !== 'gone');
    if (isFinished || tick.now >= self.stopAt) state.outbox.append({ kind: 'exit' });
    tick.wakeAt(self.stopAt);
  }

  private register(state: RunnerAgentState, tick: Tick): void {
    const { self } = state;
    for (const { callId, reply } of state.inbox.list('storeReply')) {
      if (callId !== self.registerCallId) continue;
      if (reply.kind === 'written') {
        self.isRegistered = true;
        logAgentEvent(state, 'info', 'agent_registered', {
          address: self.address,
          goneWorker: state.workerExit === 'gone' ? (state.worker?.id ?? '') : '',
        });
      } else {
        self.registerAt = tick.now + RETRY_DELAY_MS;
      }
    }
    if (self.isRegistered || self.address === '') return;
    if (tick.now < self.registerAt) {
      tick.wakeAt(self.registerAt);
      return;
    }
    self.registerAt = tick.now + CALL_TIMEOUT_MS + RETRY_DELAY_MS;
    tick.wakeAt(self.registerAt);
    self.registerCallId = `register#${state.nextCall}`;
    state.nextCall += 1;
    state.outbox.append({
      kind: 'callStore',
      callId: self.registerCallId,
      call: {
        op: 'transact',
        expected: [],
        puts: [{ key: STORE_KEYS.agent(self.id), value: this.buildRecord(state) }],
        deletes: [],
      },
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  private buildRecord(state: RunnerAgentState): AgentRecord {
    const { self, worker, workerExit } = state;
    const record = { address: self.address, zone: self.zone };
    if (workerExit !== 'gone' || worker === undefined) return record;
    return { ...record, goneWorker: { id: worker.id, bornMs: worker.bornMs } };
  }
}
