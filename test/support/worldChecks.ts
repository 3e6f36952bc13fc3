import type { ShardWorld } from './shardWorld.ts';

/** Time until an operator's zone-out must be in force at all entries. */
const ZONE_LIMIT_MS = 3_000;

/** Checks the invariants of a {@link ShardWorld}. Throws an error for the first violation. */
export class WorldChecks {
  private readonly seenStarts = new Map<string, number>();
  private zoneOutSince = new Map<string, number>();

  private constructor(private readonly world: ShardWorld) {}

  static create(world: ShardWorld): WorldChecks {
    return new WorldChecks(world);
  }

  /** Records the zones that operators have taken out; all other zones are in service. */
  setZonesOut(zones: readonly string[]): void {
    this.zoneOutSince = new Map(
      zones.map((zone) => [zone, this.zoneOutSince.get(zone) ?? this.world.clock.now]),
    );
  }

  check(): void {
    this.checkLiveRuns();
    this.checkStarts();
  }

  private checkLiveRuns(): void {
    const running = new Map<string, string>();
    for (const { worker } of this.world.agents) {
      const { capacity, id } = worker.options;
      const used = worker.computeUsedResources();
      if (used.cores > capacity.cores || used.memoryMb > capacity.memoryMb)
        throw new Error(`P1: ${id} uses ${used.cores} cores and ${used.memoryMb} MB`);
      for (const run of worker.listLiveRuns()) {
        if (run.phase !== 'running') continue;
        const other = running.get(run.taskId);
        if (other !== undefined)
          throw new Error(
            `P2: ${run.taskId} runs on ${other} and ${id} at ${this.world.clock.now}`,
          );
        running.set(run.taskId, id);
      }
    }
  }

  /** Checks that each incarnation starts on one worker only, so an eviction leads to at most one resume. */
  private checkStarts(): void {
    const places = new Map<string, string>();
    for (const { worker, zone } of this.world.agents) {
      const { id } = worker.options;
      for (const start of worker.starts) {
        const run = `${start.taskId}#${start.incarnation}`;
        const place = places.get(run);
        if (place !== undefined && place !== id)
          throw new Error(`P3: ${run} was started on ${place} and ${id}`);
        places.set(run, id);
      }
      const seen = this.seenStarts.get(id) ?? 0;
      const since = this.zoneOutSince.get(zone);
      for (const start of worker.starts.slice(seen)) {
        if (since !== undefined && start.atMs - since > ZONE_LIMIT_MS)
          throw new Error(
            `P4: ${start.taskId} started ${start.atMs - since} ms after ${zone} went out`,
          );
      }
      this.seenStarts.set(id, worker.starts.length);
    }
  }
}
