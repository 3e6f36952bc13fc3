import { Agent } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { FrontAddress } from './callers.ts';
import { JOB_PREFIX, send, SOAK_HOST } from './callers.ts';
import type { SoakHistory } from './history.ts';
import { ATTEMPTS } from './jobs.ts';
import type { SoakProcess } from './soakProcess.ts';
import type { StoreStandIn } from './storeStandIn.ts';

const PROBE_GAP_MS = 300;
const PROBE_TIMEOUT_MS = 1_500;

/** Writes the configuration and takes zones out of service, and asks every entry which version it serves. */
export class Operator {
  private version = 0;
  private isStopped = false;
  private readonly outs = new Map<string, number>();

  private constructor(
    private readonly store: StoreStandIn,
    private readonly history: SoakHistory,
  ) {}

  static create(store: StoreStandIn, history: SoakHistory): Operator {
    return new Operator(store, history);
  }

  /** Writes the next version: the queue of the jobs, and a route that only this version has. */
  updateConfiguration(): void {
    const previous = String(this.version);
    this.version += 1;
    const { version } = this;
    const common = { host: SOAK_HOST, service: 'svc', attempts: ATTEMPTS, stretch: 2, slo_ms: 500 };
    const routes = [
      { name: 'jobs', prefix: JOB_PREFIX, ...common },
      { name: `only-${version}`, prefix: formatRoute(version), ...common },
    ];
    this.store.write('op/config', { version, routes, services: [], limits: {} });
    const now = performance.now();
    this.history.configurations.update(previous, { replacedAt: now });
    this.history.configurations.set({ id: String(version), version, ackedAt: now });
  }

  /** Takes a zone out of service until the returned function is called. */
  removeZone(zone: string): () => void {
    const key = `op/evacuate/${zone}`;
    const count = this.outs.get(zone) ?? 0;
    this.outs.set(zone, count + 1);
    if (count === 0) {
      this.store.write(key, {});
      const id = this.history.takeId();
      this.history.zonesOut.set({ id, zone, ackedAt: performance.now() });
    }
    return () => {
      const left = (this.outs.get(zone) ?? 1) - 1;
      this.outs.set(zone, left);
      if (left > 0) return;
      for (const row of this.history.zonesOut.list())
        if (row.zone === zone && row.backAt === undefined)
          this.history.zonesOut.update(row.id, { backAt: performance.now() });
      this.store.write(key, undefined);
    };
  }

  /** Asks an entry for the routes of the newest version and of the one before, again and again. */
  async watchEntry({ process: name, address }: FrontAddress, process: SoakProcess): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 2 });
    while (!this.isStopped) {
      await Promise.all(
        [this.version, this.version - 1].map(async (version) => {
          const { incarnation } = process;
          const sentAt = performance.now();
          const path = formatRoute(version);
          const { status } = await send(agent, address, 'GET', path, PROBE_TIMEOUT_MS);
          if (status !== 0 && process.incarnation === incarnation)
            this.history.probes.set({
              id: this.history.takeId(),
              process: name,
              incarnation,
              version,
              sentAt,
              endedAt: performance.now(),
              status,
            });
        }),
      );
      await delay(PROBE_GAP_MS);
    }
    agent.destroy();
  }

  dispose(): void {
    this.isStopped = true;
  }
}

function formatRoute(version: number): string {
  return `/only-${version}/`;
}
