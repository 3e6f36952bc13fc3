import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { EntryBlockerCheck } from './entryBlockers.ts';
import { ENTRY_BLOCKER_CHECKS } from './entryBlockers.ts';
import { completeWithFailure } from '../requests/requestCompletion.ts';

/**
 * Within this time the load balancer detects that the entry is leaving and stops sending requests.
 */
export const FRONT_CLOSE_DELAY_MS = 2_000;
/** Period of the check while something blocks the exit. */
const CHECK_PERIOD_MS = 50;

/**
 * Drains an entry after a stop request and ends the process.
 * Reads `stopRequested` and what the blocker checks read. Writes `self`, and `requests` when the
 * shutdown times out.
 * Runs each tick, after all other systems, so that it checks their final state of the tick.
 */
export class EntryDrainSystem extends System<EntryState> {
  override readonly name = 'entryDrain';

  private constructor(private readonly blockerChecks: readonly EntryBlockerCheck[]) {
    super();
  }

  static create(blockers: readonly EntryBlockerCheck[] = ENTRY_BLOCKER_CHECKS): EntryDrainSystem {
    return new EntryDrainSystem(blockers);
  }

  override run(state: EntryState, tick: Tick): void {
    const { self } = state;
    if (state.inbox.list('stopRequested').length > 0 && self.stopRequestedMs === undefined) {
      self.phase = 'leaving';
      self.stopRequestedMs = tick.now;
      const fields = { requests: state.requests.size };
      state.outbox.append({ kind: 'log', level: 'info', event: 'entry_leaving', fields });
    }
    if (self.phase !== 'leaving' || self.stopRequestedMs === undefined) return;
    this.closeFront(state, tick, self.stopRequestedMs);
    const blockerNames = this.blockerChecks.flatMap((list) => list(state));
    if (blockerNames.length > 0 && tick.now - self.stopRequestedMs < self.stopBoundMs) {
      tick.wakeAt(tick.now + CHECK_PERIOD_MS);
      return;
    }
    this.stop(state, tick, blockerNames);
  }

  private closeFront(state: EntryState, tick: Tick, stopRequestedMs: number): void {
    if (state.self.isFrontClosed) return;
    if (tick.now - stopRequestedMs < FRONT_CLOSE_DELAY_MS) return;
    state.self.isFrontClosed = true;
    state.outbox.append({ kind: 'closeFront' });
  }

  /**
   * Ends the process. Requests still in progress fail; the kind depends on whether they may have
   * run.
   */
  private stop(state: EntryState, tick: Tick, blockerNames: readonly string[]): void {
    for (const request of state.requests.list()) {
      const requestFields = { request: request.id };
      state.outbox.append({
        kind: 'log',
        level: 'warn',
        event: 'request_cut_off',
        fields: requestFields,
      });
      const kind = request.mayHaveRun ? 'outcome_unknown' : 'shutting_down';
      completeWithFailure(
        state,
        request.id,
        createFailure(kind, 'the entry shut down before the request completed'),
      );
    }
    state.self.phase = 'stopped';
    const level = blockerNames.length > 0 ? 'warn' : 'info';
    const afterMs = Math.round(tick.now - (state.self.stopRequestedMs ?? tick.now));
    const fields = { afterMs, unfinished: blockerNames.join(',') };
    state.outbox.append({ kind: 'log', level, event: 'entry_stopped', fields });
    state.outbox.append({ kind: 'exit' });
  }
}
