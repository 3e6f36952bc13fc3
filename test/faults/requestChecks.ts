import { ERROR_ANSWERS } from '../../src/base/common/errors.ts';
import type { FaultWorld } from './faultWorld.ts';

/** Bound of a configuration change and of an endpoint that leaves. */
const LIMIT_MS = 3_000;

/** Promises P5 to P8 and P10. Throws with the first one that is broken. */
export class RequestChecks {
  /** Time since which links and store work and no process is missing; undefined during a fault. */
  healthySinceMs: number | undefined = 0;
  /** Times at which endpoints were told to leave, by agent id. */
  readonly leftMs = new Map<string, number>();
  private readonly revisions = new Map<object, number>();
  private newest = 0;
  private newestMs = 0;
  private checkedForwards = 0;
  private readonly runs = new Map<string, number>();

  private constructor(private readonly world: FaultWorld) {}

  static create(world: FaultWorld): RequestChecks {
    return new RequestChecks(world);
  }

  check(storeRevision: number): void {
    const [fault] = this.world.faults;
    if (fault !== undefined) throw new Error(fault);
    this.checkForwards();
    this.checkAnswers();
    this.checkConfiguration(storeRevision);
  }

  private checkForwards(): void {
    for (const { atMs, key, agentId } of this.world.forwards.slice(this.checkedForwards)) {
      const runs = (this.runs.get(key) ?? 0) + 1;
      this.runs.set(key, runs);
      if (runs > 1) throw new Error(`P7: ${key} ran ${runs} times`);
      const leftMs = this.leftMs.get(agentId);
      if (leftMs !== undefined && atMs - leftMs > LIMIT_MS)
        throw new Error(`P8: ${agentId} got ${key} ${atMs - leftMs} ms after it left`);
    }
    this.checkedForwards = this.world.forwards.length;
  }

  private checkAnswers(): void {
    for (const { id, key, answer } of this.world.requests.values()) {
      if (answer === undefined) continue;
      if ('kind' in answer) {
        if (ERROR_ANSWERS[answer.kind].ran === 'no' && this.runs.has(key) && !this.isRepeated(key))
          throw new Error(`P6: ${id} was refused as ${answer.kind} but ran`);
      } else if (new TextDecoder().decode(answer.body) !== key)
        throw new Error(`P5: ${id} got the answer of another request`);
    }
  }

  /** Another request of the same key may have run although this one did not. */
  private isRepeated(key: string): boolean {
    return [...this.world.requests.values()].filter((sent) => sent.key === key).length > 1;
  }

  private checkConfiguration(storeRevision: number): void {
    const { now } = this.world.clock;
    if (storeRevision > this.newest) this.newestMs = now;
    this.newest = Math.max(this.newest, storeRevision);
    const entries = this.world.entries.filter((entry) => !entry.isDead && !entry.isPaused);
    const held = [
      ...entries.map(({ id, state }) => ({
        id,
        state,
        revision: state.configuration.current.revision,
      })),
      ...this.world.agents.map(({ id, state }) => ({
        id,
        state,
        revision: state.config?.revision ?? 0,
      })),
    ];
    for (const { id, state, revision } of held) {
      const before = this.revisions.get(state) ?? 0;
      if (revision < before) throw new Error(`P10: ${id} went back from ${before} to ${revision}`);
      this.revisions.set(state, revision);
      if (this.healthySinceMs === undefined || state.self.phase !== 'serving') continue;
      if (revision < this.newest && now - Math.max(this.newestMs, this.healthySinceMs) > LIMIT_MS)
        throw new Error(`P10: ${id} has revision ${revision}, not ${this.newest}`);
    }
  }
}
