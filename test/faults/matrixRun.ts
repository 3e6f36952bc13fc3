import type { TaskRow } from '../../src/model/task.ts';
import type { Configuration } from '../../src/model/configuration.ts';
import { CONFIGURATION_KEY } from '../../src/systems/configuration/configurationReadSystem.ts';
import { SHARD } from '../support/shardWorld.ts';
import { WorldChecks } from '../support/worldChecks.ts';
import type { SimAgent, SimEntry } from '../support/worldTypes.ts';
import { FaultWorld } from './faultWorld.ts';
import { RequestChecks } from './requestChecks.ts';

/** Longer than a checkpoint period and two exchanges. */
const WORK_MS = 5_000;
/** A request of a caller in the background, so that the request promises are tested in each cell. */
const REQUEST_PERIOD_MS = 1_000;
const SETTLE_LIMIT_MS = 10_000;

/** The world of one cell with its job and the checks after each tick. */
export class MatrixRun {
  readonly world: FaultWorld;
  readonly checks: WorldChecks;
  readonly requestChecks: RequestChecks;
  submitCall: string | undefined;
  jobId: string | undefined;
  operatorCall: string | undefined;
  isCancelled = false;
  /** The entries that have the call of the submission and of the operator. */
  submitEntry: SimEntry | undefined;
  operatorEntry: SimEntry | undefined;
  hasFailedStarts = false;
  private nextRequestMs = Number.POSITIVE_INFINITY;
  private zonesOut = '[]';

  private constructor(seed: number, workMs: number) {
    this.world = FaultWorld.create({ seed, entries: 2, workers: 2, workMs });
    this.checks = WorldChecks.create(this.world);
    this.requestChecks = RequestChecks.create(this.world);
  }

  /** A world whose owner, entries and endpoints know each other. */
  static create(seed: number, workMs = WORK_MS): MatrixRun {
    const run = new MatrixRun(seed, workMs);
    const isReady = (): boolean =>
      run.world.owner?.state.workers.size === 2 &&
      run.world.entries.every(({ state }) => state.endpoints.size === 2);
    run.waitFor(isReady, SETTLE_LIMIT_MS, 'a ready world');
    run.nextRequestMs = run.world.clock.now;
    return run;
  }

  get owner(): SimEntry | undefined {
    return this.world.owner;
  }

  /** The entry that callers and operators use. */
  get front(): SimEntry {
    const living = this.world.entries.filter((entry) => !entry.isDead && !entry.isPaused);
    return living.find((entry) => entry !== this.owner) ?? living[0] ?? this.world.entries[0]!;
  }

  get task(): TaskRow | undefined {
    return this.jobId === undefined ? undefined : this.owner?.state.tasks.get(this.jobId);
  }

  get ledger() {
    return this.owner?.state.ledgers.get(SHARD);
  }

  /** The agent of the job's worker, or the first one. */
  get agent(): SimAgent {
    const id = this.task?.workerId;
    return (
      this.world.agents.find(({ worker }) => worker.options.id === id) ?? this.world.agents[0]!
    );
  }

  submitJob(): void {
    this.submitEntry = this.front;
    this.submitCall = this.world.submit(this.front, 'job');
  }

  /** Whether the process has ended that had a call. */
  isEntryLost(entry: SimEntry | undefined): boolean {
    return entry !== undefined && (entry.isDead || !this.world.entries.includes(entry));
  }

  waitFor(condition: () => boolean, limitMs: number, what: string): void {
    const untilMs = this.world.clock.now + limitMs;
    while (!condition()) {
      if (this.world.clock.now >= untilMs) throw new Error(`not within ${limitMs} ms: ${what}`);
      this.run(20);
    }
  }

  run(durationMs: number): void {
    this.world.run(durationMs, () => {
      this.checkTick();
    });
  }

  /** Breaks the connections of a dead entry: its callers send again at another one. */
  resendRequests(dead: SimEntry): void {
    for (const sent of [...this.world.requests.values()]) {
      if (sent.entry !== dead || sent.answer !== undefined || sent.isBroken) continue;
      sent.isBroken = true;
      this.world.sendRequest(this.front, sent.key, true);
    }
  }

  cancelRequest(id: string, entry: SimEntry): void {
    this.world.requests.get(id)!.isGone = true;
    entry.loop.receive({ kind: 'callerGone', requestId: id });
  }

  get zonesOutNow(): string[] {
    return JSON.parse(this.zonesOut) as string[];
  }

  /** Starts a new process for each one that has ended after a graceful stop. */
  restartExited(): void {
    for (const [index, entry] of this.world.entries.entries()) {
      if (!this.world.exits.includes(entry.state.self.bootId)) continue;
      this.assertAnswered(entry);
      this.world.restartEntry(index);
    }
    for (const [index, agent] of this.world.agents.entries()) {
      if (!this.world.exits.includes(agent.state.self.bootId)) continue;
      this.requestChecks.leftMs.delete(agent.id);
      this.world.restartAgent(index);
    }
  }

  /** A planned stop cuts off no request in progress. */
  private assertAnswered(entry: SimEntry): void {
    for (const sent of this.world.requests.values()) {
      const isOpen = sent.answer === undefined && !sent.isBroken && !sent.isGone;
      if (sent.entry === entry && isOpen) throw new Error(`P9: ${entry.id} cut off ${sent.id}`);
    }
  }

  stopBackground(): void {
    this.nextRequestMs = Number.POSITIVE_INFINITY;
  }

  private checkTick(): void {
    const { world } = this;
    if (this.submitCall !== undefined && this.jobId === undefined) {
      const jobId = world.getValue(this.submitCall)?.jobId;
      if (typeof jobId === 'string') this.jobId = jobId;
    }
    const reply = world.store.handle({ op: 'read', key: CONFIGURATION_KEY });
    const config = reply.kind === 'entry' ? (reply.entry.value as Configuration) : undefined;
    const zonesOut = JSON.stringify(config?.zonesOut ?? []);
    if (zonesOut !== this.zonesOut) this.checks.setZonesOut(config?.zonesOut ?? []);
    this.zonesOut = zonesOut;
    this.checks.check();
    this.requestChecks.check(config?.revision ?? 0);
    if (world.clock.now < this.nextRequestMs) return;
    this.nextRequestMs = world.clock.now + REQUEST_PERIOD_MS;
    world.sendRequest(this.front);
  }
}
