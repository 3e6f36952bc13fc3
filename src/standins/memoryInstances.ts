import type { Clock } from '../base/common/clock.ts';
import type {
  InstanceCall,
  InstanceInfo,
  InstanceReply,
  CommandAuthority,
} from '../model/scheduler/instanceCall.ts';

/** A call that restarts an instance: maintenance or a move to another pool. */
export type InstanceCommand = Exclude<InstanceCall, { op: 'list' }>;

interface InstanceRecord {
  info: InstanceInfo;
  /** Time at which the instance is up again; 0 while it is up. */
  upAtMs: number;
  /** Maintenance waves that the instance has completed or is in. */
  readonly completedWaves: Set<number>;
  authority: CommandAuthority | undefined;
}

/** A command that took effect. */
export interface AppliedCommand {
  readonly command: InstanceCommand;
  readonly atMs: number;
}

/** Stand-in of the platform's service that lists instances and accepts commands for them. */
export class MemoryInstances {
  readonly appliedCommands: AppliedCommand[] = [];
  /** Commands with a lower fence than an earlier one, or an equal fence of another holder. */
  readonly fenceViolations: InstanceCommand[] = [];
  /** Instances that belong to every wave; all instances if undefined. */
  waveInstances: ReadonlySet<string> | undefined;
  /** Instances that reject every command as busy. */
  readonly busyInstances = new Set<string>();
  private readonly records = new Map<string, InstanceRecord>();

  private constructor(
    private readonly clock: Clock,
    /** Time that an instance is down after a command, in milliseconds. */
    public downMs: number,
    private readonly pageSize: number,
    /** Ends the instance's runs and returns the id of the worker that starts there next. */
    private readonly restartInstance: (command: InstanceCommand, downMs: number) => string,
  ) {}

  static create(
    clock: Clock,
    downMs: number,
    restartInstance: (command: InstanceCommand, downMs: number) => string,
    pageSize = 2,
  ): MemoryInstances {
    return new MemoryInstances(clock, downMs, pageSize, restartInstance);
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
    const instances = [...this.records.values()].map(({ info }) => info);
    const start = call.pageToken === '' ? 0 : Number(call.pageToken);
    const end = start + this.pageSize;
    return {
      kind: 'page',
      instances: instances.slice(start, end),
      nextToken: end < instances.length ? String(end) : '',
    };
  }

  private applyCommand(command: InstanceCommand): InstanceReply {
    const record = this.records.get(command.instanceId);
    if (record === undefined) return { kind: 'rejected', reason: 'unknown' };
    const { fence, holder } = command.authority;
    const previousAuthority = record.authority;
    if (
      previousAuthority !== undefined &&
      (fence < previousAuthority.fence ||
        (fence === previousAuthority.fence && holder !== previousAuthority.holder))
    ) {
      this.fenceViolations.push(command);
      return { kind: 'rejected', reason: 'fence' };
    }
    record.authority = command.authority;
    if (command.op === 'maintain') {
      if (this.waveInstances?.has(command.instanceId) === false)
        return { kind: 'rejected', reason: 'notInWave' };
      if (record.completedWaves.has(command.wave)) return { kind: 'done' };
    } else if (record.info.pool === command.pool) return { kind: 'done' };
    if (record.info.state !== 'up' || this.busyInstances.has(command.instanceId))
      return { kind: 'rejected', reason: 'busy' };
    this.startOutage(record, command);
    return { kind: 'done' };
  }

  private startOutage(record: InstanceRecord, command: InstanceCommand): void {
    this.appliedCommands.push({ command, atMs: this.clock.now });
    record.upAtMs = this.clock.now + this.downMs;
    const workerId = this.restartInstance(command, this.downMs);
    if (command.op === 'maintain') {
      record.completedWaves.add(command.wave);
      record.info = { ...record.info, state: 'maintenance', workerId };
    } else record.info = { ...record.info, state: 'moving', pool: command.pool, workerId };
  }

  private advance(): void {
    for (const record of this.records.values()) {
      if (record.upAtMs === 0 || this.clock.now < record.upAtMs) continue;
      record.upAtMs = 0;
      record.info = { ...record.info, state: 'up' };
    }
  }
}
