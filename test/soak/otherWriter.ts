import type { SeededRandom } from '../../src/base/common/seededRandom.ts';
import { buildNestedJson, INVALID_ADDRESSES } from '../support/invalidValues.ts';
import type { StoreStandIn } from './storeStandIn.ts';
import type { WorkerSlot } from './workerSlot.ts';

const NESTING = 1_000;
/** Mean time between two false heartbeats. */
const HEARTBEAT_GAP_MS = 1_500;
/** False incarnations start later than the true ones. */
const LEAD_MS = 60_000;

/**
 * Another writer: leaves odd entries among those of the agents, jobs and owners, and sends agents
 * heartbeats of workers that do not exist. None of them may change anything.
 */
export class OtherWriter {
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly store: StoreStandIn,
    private readonly workers: readonly WorkerSlot[],
    private readonly random: SeededRandom,
  ) {}

  static create(
    store: StoreStandIn,
    workers: readonly WorkerSlot[],
    random: SeededRandom,
  ): OtherWriter {
    return new OtherWriter(store, workers, random);
  }

  start(): void {
    for (const [index, address] of INVALID_ADDRESSES.entries())
      this.store.write(`in/a/odd-${index}`, { address, zone: 'a' });
    this.store.write('in/a/nested', JSON.parse(buildNestedJson(NESTING)));
    this.store.write('in/a/a|b', { address: '127.0.0.1:1', zone: 'a' });
    const step = { count: 100_000, cpuMillis: 1 };
    const spec = { payload: '', steps: [step], occurrences: 100_000 };
    this.store.write('in/j/00000000000000ff', { queue: 'q', service: 's', spec, acceptedAtMs: 1 });
    this.store.write('in/j/__proto__', { queue: 'q', service: 's', spec: {}, acceptedAtMs: 1 });
    this.scheduleHeartbeat();
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  private scheduleHeartbeat(): void {
    this.timer = setTimeout(() => {
      const worker = this.workers[this.random.takeInt(0, this.workers.length - 1)];
      void worker?.sendFalseBeat(Date.now() + LEAD_MS, this.random.takeUnit() < 0.5);
      this.scheduleHeartbeat();
    }, this.random.takeExponential(HEARTBEAT_GAP_MS));
  }
}
