import type { Clock } from '../base/common/clock.ts';
import type {
  InstanceCall,
  InstanceInfo,
  InstanceReply,
  CommandAuthority,
} from '../model/scheduler/instanceCall.ts';

/** A call that takes an instance down. */
export type InstanceOrder = Exclude<InstanceCall, { op: 'list' }>;

interface Held {
  info: InstanceInfo;
  /** When it is up again; 0 when it is. */
  upAt: number;
  /** Waves that it has been through. */
  readonly waves: Set<number>;
  authority: CommandAuthority | undefined;
}

/** An order that was carried out. */
export interface CarriedOut {
  readonly order: InstanceOrder;
  readonly at: number;
}

/** Stand-in of the platform's service that lists instances and takes orders for them. */
export class MemoryInstances {
  readonly carriedOut: CarriedOut[] = [];
  /** Orders that named a lower fence, or an equal one of another holder. */
  readonly fenceFaults: InstanceOrder[] = [];
  /** Instances that every wave holds; all of them without a list. */
  waveInstances: ReadonlySet<string> | undefined;
  /** Instances that reject every order as busy. */
  readonly busy = new Set<string>();
  private readonly held = new Map<string, Held>();

  private constructor(
    private readonly clock: Clock,
    /** Time that an instance is down for an order, ms. */
    public downMs: number,
    private readonly pageSize: number,
    /** Ends what runs on the instance and returns the id of the worker that will be there. */
    private readonly restart: (order: InstanceOrder, downMs: number) => string,
  ) {}

  static create(
    clock: Clock,
    downMs: number,
    restart: (order: InstanceOrder, downMs: number) => string,
    pageSize = 2,
  ): MemoryInstances {
    return new MemoryInstances(clock, downMs, pageSize, restart);
  }

  add(info: InstanceInfo): void {
    this.held.set(info.id, { info, upAt: 0, waves: new Set(), authority: undefined });
  }

  remove(instanceId: string): void {
    this.held.delete(instanceId);
  }

  get(instanceId: string): InstanceInfo | undefined {
    this.advance();
    return this.held.get(instanceId)?.info;
  }

  countInMaintenance(): number {
    this.advance();
    return [...this.held.values()].filter(({ info }) => info.state === 'maintenance').length;
  }

  handle(call: InstanceCall): InstanceReply {
    this.advance();
    if (call.op !== 'list') return this.applyOrder(call);
    const all = [...this.held.values()].map(({ info }) => info);
    const start = call.pageToken === '' ? 0 : Number(call.pageToken);
    const end = start + this.pageSize;
    return {
      kind: 'page',
      instances: all.slice(start, end),
      nextToken: end < all.length ? String(end) : '',
    };
  }

  private applyOrder(order: InstanceOrder): InstanceReply {
    const held = this.held.get(order.instanceId);
    if (held === undefined) return { kind: 'rejected', reason: 'unknown' };
    const { fence, holder } = order.authority;
    const known = held.authority;
    if (
      known !== undefined &&
      (fence < known.fence || (fence === known.fence && holder !== known.holder))
    ) {
      this.fenceFaults.push(order);
      return { kind: 'rejected', reason: 'fence' };
    }
    held.authority = order.authority;
    if (order.op === 'maintain') {
      if (this.waveInstances?.has(order.instanceId) === false)
        return { kind: 'rejected', reason: 'notInWave' };
      if (held.waves.has(order.wave)) return { kind: 'done' };
    } else if (held.info.pool === order.pool) return { kind: 'done' };
    if (held.info.state !== 'up' || this.busy.has(order.instanceId))
      return { kind: 'rejected', reason: 'busy' };
    this.startOutage(held, order);
    return { kind: 'done' };
  }

  private startOutage(held: Held, order: InstanceOrder): void {
    this.carriedOut.push({ order, at: this.clock.now });
    held.upAt = this.clock.now + this.downMs;
    const workerId = this.restart(order, this.downMs);
    if (order.op === 'maintain') {
      held.waves.add(order.wave);
      held.info = { ...held.info, state: 'maintenance', workerId };
    } else held.info = { ...held.info, state: 'moving', pool: order.pool, workerId };
  }

  private advance(): void {
    for (const held of this.held.values()) {
      if (held.upAt === 0 || this.clock.now < held.upAt) continue;
      held.upAt = 0;
      held.info = { ...held.info, state: 'up' };
    }
  }
}
