import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState } from '../../model/agentState.ts';

/** Without any entry to tell, the agent does not wait for the acknowledgement longer than this. */
const ANNOUNCE_WAIT_MS = 3_000;
/**
 * Entries that learn of the leaving late still send attempts, and need the rejections. Two seconds
 * is the time in which all reachable entries know.
 */
const LINGER_MS = 2_000;
/** Answers that are already in the adapter need time to reach the entry. */
const EXIT_DELAY_MS = 50;

/**
 * Ends the agent's process after a planned stop.
 * Reads `attempts`, `links`, the phase. Writes the phase. Runs each turn, last.
 */
export class AgentDrainSystem extends System<AgentState> {
  override readonly name = 'agentDrain';

  private constructor() {
    super();
  }

  static create(): AgentDrainSystem {
    return new AgentDrainSystem();
  }

  override run(state: AgentState, tick: Tick): void {
    const { self } = state;
    if (self.phase !== 'leaving' || self.leavingSinceMs === undefined) return;
    const boundMs = self.leavingSinceMs + self.stopBoundMs;
    const open = [...state.attempts.values()].filter((attempt) => attempt.phase !== 'done');
    if (tick.now >= boundMs) {
      for (const attempt of open) {
        state.outbox.append({
          kind: 'log',
          level: 'warn',
          event: 'attempt_cut_off',
          fields: { attempt: attempt.id },
        });
      }
      this.stopProcess(state, tick, open.length);
      return;
    }
    tick.wakeAt(boundMs);
    const restMs = this.computeRestMs(state, tick, self.leavingSinceMs);
    if (open.length > 0) return;
    if (restMs <= 0) this.stopProcess(state, tick, 0);
    else tick.wakeAt(tick.now + restMs);
  }

  private computeRestMs(state: AgentState, tick: Tick, sinceMs: number): number {
    const isAnnounced = [...state.links.values()].some(
      (link) =>
        link.sentVersion === state.announcementVersion &&
        link.lastReplyMs > sinceMs &&
        link.pendingCallId === undefined,
    );
    const lastDoneMs = Math.max(
      0,
      ...[...state.attempts.values()].map((attempt) => attempt.doneMs + EXIT_DELAY_MS),
    );
    const untilMs = sinceMs + (isAnnounced ? LINGER_MS : ANNOUNCE_WAIT_MS);
    return Math.max(untilMs, lastDoneMs) - tick.now;
  }

  private stopProcess(state: AgentState, tick: Tick, cutOff: number): void {
    state.self.phase = 'stopped';
    state.outbox.append({
      kind: 'log',
      level: 'info',
      event: 'agent_stopped',
      fields: { afterMs: Math.round(tick.now - (state.self.leavingSinceMs ?? tick.now)), cutOff },
    });
    state.outbox.append({ kind: 'exit' });
  }
}
