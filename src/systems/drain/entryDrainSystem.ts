import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { EntryBlockerCheck } from './entryBlockers.ts';
import { ENTRY_BLOCKER_CHECKS } from './entryBlockers.ts';
import { completeWithFailure } from '../requests/requestCompletion.ts';

/** The balancer sees within this time that the entry is leaving and sends nothing new. */
export const FRONT_CLOSE_DELAY_MS = 2_000;
/** Period of the check while something blocks the exit. */
const CHECK_PERIOD_MS = 50;

/**
 * Leads an entry through its graceful shutdown.
 * Reads `stopRequested` and what the blockers read. Writes `self`, `requests` at the bound.
 * Runs each turn, after all other systems, so that it sees what they have left.
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
    const names = this.blockerChecks.flatMap((list) => list(state));
    if (names.length > 0 && tick.now - self.stopRequestedMs < self.stopBoundMs) {
      tick.wakeAt(tick.now + CHECK_PERIOD_MS);
      return;
    }
    this.stop(state, tick, names);
  }

  private closeFront(state: EntryState, tick: Tick, stopRequestedMs: number): void {
    if (state.self.isFrontClosed) return;
    if (tick.now - stopRequestedMs < FRONT_CLOSE_DELAY_MS) return;
    state.self.isFrontClosed = true;
    state.outbox.append({ kind: 'closeFront' });
  }

  /** What is still running at the bound is answered by what is known about it. */
  private stop(state: EntryState, tick: Tick, names: readonly string[]): void {
    for (const request of state.requests.list()) {
      const cutOff = { request: request.id };
      state.outbox.append({ kind: 'log', level: 'warn', event: 'request_cut_off', fields: cutOff });
      const kind = request.mayHaveRun ? 'outcome_unknown' : 'shutting_down';
      completeWithFailure(state, request.id, createFailure(kind, 'this entry has left'));
    }
    state.self.phase = 'stopped';
    const level = names.length > 0 ? 'warn' : 'info';
    const afterMs = Math.round(tick.now - (state.self.stopRequestedMs ?? tick.now));
    const fields = { afterMs, unfinished: names.join(',') };
    state.outbox.append({ kind: 'log', level, event: 'entry_stopped', fields });
    state.outbox.append({ kind: 'exit' });
  }
}
