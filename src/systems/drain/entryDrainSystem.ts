import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import { closeWithFailure } from '../requests/refuse.ts';

/** Names what still has to finish before the process may exit. */
export type EntryBlocker = (state: EntryState) => string[];

/** The balancer sees within this time that the entry is leaving and sends nothing new. */
export const FRONT_CLOSE_MS = 2_000;
/** Period of the check while something blocks the exit. */
const CHECK_MS = 50;

/** Requests in progress and key records that have not reached their next holders. */
export function listRequestBlockers(state: EntryState): string[] {
  const blockers: string[] = [];
  if (!state.self.isFrontClosed) blockers.push('front');
  if (state.requests.size > 0) blockers.push('requests');
  if (state.keySettlements.size > 0) blockers.push('keySettlements');
  if (!state.keyMemory.isHandedOver || state.keyHandOvers.size > 0) blockers.push('keys');
  return blockers;
}

/**
 * Leads an entry through its graceful shutdown.
 * Reads `stopRequested` and what the blockers read. Writes `self`, `requests` at the bound.
 * Runs each turn, after all other systems, so that it sees what they have left.
 */
export class EntryDrainSystem extends System<EntryState> {
  override readonly name = 'entryDrain';

  private constructor(private readonly blockers: readonly EntryBlocker[]) {
    super();
  }

  static create(blockers: readonly EntryBlocker[] = [listRequestBlockers]): EntryDrainSystem {
    return new EntryDrainSystem(blockers);
  }

  override run(state: EntryState, tick: Tick): void {
    const { self } = state;
    if (state.inbox.list('stopRequested').length > 0 && self.stopRequestedMs === undefined) {
      self.phase = 'leaving';
      self.stopRequestedMs = tick.now;
    }
    if (self.phase !== 'leaving' || self.stopRequestedMs === undefined) return;
    this.closeFront(state, tick, self.stopRequestedMs);
    const names = this.blockers.flatMap((list) => list(state));
    if (names.length > 0 && tick.now - self.stopRequestedMs < self.stopBoundMs) {
      tick.wakeAt(tick.now + CHECK_MS);
      return;
    }
    this.stop(state, names);
  }

  private closeFront(state: EntryState, tick: Tick, stopRequestedMs: number): void {
    if (state.self.isFrontClosed) return;
    if (tick.now - stopRequestedMs < FRONT_CLOSE_MS) return;
    state.self.isFrontClosed = true;
    state.outbox.append({ kind: 'closeFront' });
  }

  /** What is still running at the bound is answered by what is known about it. */
  private stop(state: EntryState, names: readonly string[]): void {
    for (const request of state.requests.list()) {
      const kind = request.mayHaveRun ? 'outcome_unknown' : 'shutting_down';
      closeWithFailure(state, request.id, createFailure(kind, 'this entry has left'));
    }
    state.self.phase = 'stopped';
    const level = names.length > 0 ? 'warn' : 'info';
    const fields = { unfinished: names.join(',') };
    state.outbox.append({ kind: 'log', level, event: 'entry_stopped', fields });
    state.outbox.append({ kind: 'exit' });
  }
}
