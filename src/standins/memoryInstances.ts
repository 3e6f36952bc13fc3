import type { Clock } from '../base/common/clock.ts';
import type {
  InstanceCall,
  InstanceInfo,
  InstanceReply,
  CommandAuthority,
} from '../model/scheduler/instanceCall.ts';

/** A call that takes an instance down. */
export type InstanceCommand = Exclude<InstanceCall, { op: 'list' }>;

interface InstanceRecord {
  info: InstanceInfo;
  /** When it is up again; 0 when it is. */
  upAtMs: number;
  /** Waves that it has been through. */
  readonly completedWaves: Set<number>;
  authority: CommandAuthority | undefined;
}

/** An order that was carried out. */
export interface AppliedCommand {
  readonly command: InstanceCommand;
  readonly atMs: number;
}

/** Stand-in of the platform's service that lists instances and takes orders for them. */
export class MemoryInstances {
  readonly appliedCommands: AppliedCommand[] = [];
  /** Orders that named a lower fence, or an equal one of another holder. */
  readonly fenceViolations: InstanceCommand[] = [];
  /** Instances that every wave holds; all of them without a list. */
  waveInstances: ReadonlySet<string> | undefined;
  /** Instances that reject every order as busy. */
  readonly busyInstances = new Set<string>();
  private readonly records = new Map<string, InstanceRecord>();

  private constructor(
    private readonly clock: Clock,
    /** Time that an instance is down for an order, ms. */
    public downMs: number,
    private readonly pageSize: number,
    /** Ends what runs on the instance and returns the id of the worker that will be there. */
    private readonly restartInstance: (order: InstanceCommand, downMs: number) => string,
  ) {}

  static create(
    clock: Clock,
    downMs: number,
    restart: (order: InstanceCommand, downMs: number) => string,
    pageSize = 2,
  ): MemoryInstances {
    return new MemoryInstances(clock, downMs, pageSize, restart);
  }

  add(info: InstanceInfo): void {
    this.records.set(info.id, { info, upAtMs: 0, completedWaves: new Set(), authority: undefined });
  }

  remove(instanceId: string): void {
    this.records.delete(instanceId);
  }

  get(instanceId: string): InstanceInfo | undefined {
    this.advance();
    return this.records.get(instanceId)?.info;
  }

  countInMaintenance(): number {
    this.advance();
    return [...this.records.values()].filter(({ info }) => info.state === 'maintenance').length;
  }

  handle(call: InstanceCall): InstanceReply {
    this.advance();
    if (call.op !== 'list') return this.applyCommand(call);
    const all = [...this.records.values()].map(({ info }) => info);
    const start = call.pageToken === '' ? 0 : Number(call.pageToken);
    const end = start + this.pageSize;
    return {
      kind: 'page',
      instances: all.slice(start, end),
      nextToken: end < all.length ? String(end) : '',
    };
  }

  private applyCommand(order: InstanceCommand): InstanceReply {
    const held = this.records.get(order.instanceId);
    if (held === undefined) return { kind: 'rejected', reason: 'unknown' };
    const { fence, holder } = order.authority;
    const known = held.authority;
    if (
      known !== undefined &&
      (fence < known.fence || (fence === known.fence && holder !== known.holder))
    ) {
      this.fenceViolations.push(order);
      return { kind: 'rejected', reason: 'fence' };
    }
    held.authority = order.authority;
    if (order.op === 'maintain') {
      if (this.waveInstances?.has(order.instanceId) === false)
        return { kind: 'rejected', reason: 'notInWave' };
      if (held.completedWaves.has(order.wave)) return { kind: 'done' };
    } else if (held.info.pool === order.pool) return { kind: 'done' };
    if (held.info.state !== 'up' || this.busyInstances.has(order.instanceId))
      return { kind: 'rejected', reason: 'busy' };
    this.startOutage(held, order);
    return { kind: 'done' };
  }

  private startOutage(held: InstanceRecord, order: InstanceCommand): void {
    this.appliedCommands.push({ command: order, atMs: this.clock.now });
    held.upAtMs = this.clock.now + this.downMs;
    const workerId = this.restartInstance(order, this.downMs);
    if (order.op === 'maintain') {
      held.completedWaves.add(order.wave);
      held.info = { ...held.info, state: 'maintenance', workerId };
    } else held.info = { ...held.info, state: 'moving', pool: order.pool, workerId };
  }

  private advance(): void {
    for (const held of this.records.values()) {
      if (held.upAtMs === 0 || this.clock.now < held.upAtMs) continue;
      held.upAtMs = 0;
      held.info = { ...held.info, state: 'up' };
    }
  }
}
