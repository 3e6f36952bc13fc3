import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { RunnerAgentState, WorkerHeartbeat } from '../../model/scheduler/runnerAgentState.ts';
import { isWorkerConfirmed } from '../../model/scheduler/runnerAgentState.ts';
import { logAgentEvent, requestPoll, resetIncarnation } from './agentCalls.ts';

/**
 * Tracks the present incarnation of the worker. Reads heartbeats and leave notices; writes `worker` and
 * `workerExit`. Runs first.
 */
export class WorkerHeartbeatSystem extends System<RunnerAgentState> {
  override readonly name = 'workerBeat';

  private constructor() {
    super();
  }

  static create(): WorkerHeartbeatSystem {
    return new WorkerHeartbeatSystem();
  }

  override run(state: RunnerAgentState, tick: Tick): void {
    for (const { heartbeat } of state.inbox.list('workerBeat'))
      this.applyHeartbeat(state, heartbeat, tick.now);
    for (const { workerId } of state.inbox.list('workerLeft')) {
      if (state.worker?.id !== workerId) continue;
      logAgentEvent(state, 'info', 'worker_left', { worker: workerId });
      state.worker = { ...state.worker, isDraining: true };
      state.workerExit = 'leaving';
      // Later polls detect whether the worker has ended.
      requestPoll(state);
      state.owner.reportAt = tick.now;
    }
  }

  /**
   * Applies a heartbeat; one that a partition delayed past the next incarnation's is ignored. An
   * incarnation that has not answered yet may be false, and outranks no other.
   */
  private applyHeartbeat(state: RunnerAgentState, beat: WorkerHeartbeat, now: number): void {
    const { worker } = state;
    const { identity } = beat;
    const isSameIncarnation = worker?.id === identity.id && worker.bornMs === identity.bornMs;
    const isEarlier = worker !== undefined && identity.bornMs < worker.bornMs;
    if (isEarlier && isWorkerConfirmed(state)) return;
    if (isSameIncarnation && beat.sequence <= state.workerSequence) return;
    state.workerSequence = beat.sequence;
    state.worker = identity;
    if (!isSameIncarnation) {
      logAgentEvent(state, 'info', 'worker_seen', {
        worker: identity.id,
        born: identity.bornMs,
        address: identity.address,
      });
      resetIncarnation(state, now);
    } else if (worker.isDraining !== identity.isDraining) {
      logAgentEvent(state, 'info', 'worker_draining', {
        worker: identity.id,
        leftMs: identity.drainLeftMs,
      });
      state.owner.reportAt = now;
    }
  }
}
