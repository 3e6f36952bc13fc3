import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentRecord } from '../../model/scheduler/jobRecord.ts';
import { agentRecordSchema, STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import type { StoreEntry, StoreReply } from '../../model/store.ts';
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
      if (reply.kind === 'mismatch') {
        const hasRead = this.readRecord(state, reply.entries);
        self.registerAt = tick.now + (hasRead ? 0 : RETRY_DELAY_MS);
      } else {
        this.receiveWritten(state, reply, tick.now);
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
    const key = STORE_KEYS.agent(self.id);
    state.outbox.append({
      kind: 'callStore',
      callId: self.registerCallId,
      call: {
        op: 'transact',
        // A record of an earlier process is read before it is replaced.
        expected: [{ key, version: self.recordVersion }],
        puts: [{ key, value: this.buildRecord(state) }],
        deletes: [],
      },
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  private receiveWritten(state: RunnerAgentState, reply: StoreReply, now: number): void {
    const { self } = state;
    if (reply.kind !== 'written') {
      self.registerAt = now + RETRY_DELAY_MS;
      return;
    }
    self.isRegistered = true;
    self.recordVersion = reply.version;
    logAgentEvent(state, 'info', 'agent_registered', {
      address: self.address,
      goneWorker: this.buildRecord(state).goneWorker?.id ?? '',
    });
  }

  /**
   * Reads the version of the stored record, and the end of a worker that an earlier process stored.
   * Returns false without another version.
   */
  private readRecord({ self }: RunnerAgentState, entries: readonly StoreEntry[]): boolean {
    const entry = entries.find(({ key }) => key === STORE_KEYS.agent(self.id));
    if (entry === undefined || entry.version === self.recordVersion) return false;
    self.recordVersion = entry.version;
    // An unreadable record holds no end, and is replaced.
    const record = parseValue(agentRecordSchema, entry.value).toMaybe().extract();
    self.storedGoneWorker = record?.goneWorker ?? self.storedGoneWorker;
    return true;
  }

  private buildRecord({ self, worker, workerExit }: RunnerAgentState): AgentRecord {
    const goneWorker =
      workerExit === 'gone' && worker !== undefined
        ? { id: worker.id, bornMs: worker.bornMs }
        : self.storedGoneWorker;
    const record = { address: self.address, zone: self.zone };
    return goneWorker === undefined ? record : { ...record, goneWorker };
  }
}
