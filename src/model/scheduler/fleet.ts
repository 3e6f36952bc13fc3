import type { TableIndex } from '../../base/common/table.ts';
import { Table } from '../../base/common/table.ts';
import type { InstanceInfo } from './instanceCall.ts';
import type { MaintenanceWave } from './maintenanceWave.ts';

/** A maintenance wave as the owner tracks it. */
export interface WaveRow {
  /** The wave's number as text. */
  readonly id: string;
  readonly wave: MaintenanceWave;
  /** `loading` until the stored progress has been read. */
  readonly phase: 'loading' | 'running' | 'completed';
  /** When an owner first read the wave, owner's clock ms. */
  readonly startedAt: number;
  /** Number of the latest change; a change is valid once {@link storedChange} has reached it. */
  readonly change: number;
  readonly storedChange: number;
  readonly storeVersion: number;
  /** Id of the pending store call; empty without one. */
  readonly callId: string;
  /** Change that the pending call stores. */
  readonly sentChange: number;
  readonly retryAt: number;
}

/**
 * Phase of an instance in a wave. `waiting`: not begun. `draining`: no run starts there, and open
 * runs end or are stopped. `reserved`: empty; the store records that the command will be sent.
 * `ordered`: the command may have been sent. `begun`: the platform has confirmed the maintenance.
 * `back`: the instance is up again. `gone`: the instance does not exist, or the platform reports
 * that it is not part of the wave.
 */
export type MaintenancePhase =
  'waiting' | 'draining' | 'reserved' | 'ordered' | 'begun' | 'back' | 'gone';

/** The state of one instance in a wave. */
export interface MaintenanceRow {
  /** `WAVE|INSTANCE`. */
  readonly id: string;
  readonly waveId: string;
  readonly instanceId: string;
  readonly phase: MaintenancePhase;
  /** Change of the wave that must be stored before the command may be sent. */
  readonly reservedChange: number;
  /** Time at which the remaining runs are stopped, owner's clock ms. */
  readonly stopAt: number;
  /** Id of the pending command; empty without one. */
  readonly callId: string;
  readonly retryAt: number;
  readonly rejections: number;
  /** When a command last got no answer, owner's clock ms; it may still be executed. */
  readonly unansweredAt: number;
  readonly begunAt: number;
}

/** An instance of a spare pool that is lent to a pool with a backlog, or is moving there or back. */
export interface TransferRow {
  /** Id of the instance. */
  readonly id: string;
  /** The spare pool that owns the instance, and the pool that borrows it. */
  readonly home: string;
  readonly pool: string;
  readonly direction: 'out' | 'home';
  /**
   * `reserved`: the store records that the command will be sent. `ordered`: the command may have been
   * sent. `settled`: the platform has confirmed the move. `dropped`: the move was rejected, or the
   * instance is back in its spare pool; the stored record is deleted.
   */
  readonly phase: 'reserved' | 'ordered' | 'settled' | 'dropped';
  /** Whether the store holds the present row. */
  readonly isStored: boolean;
  readonly storeVersion: number;
  /** Ids of the pending store call and the pending command; empty without one. */
  readonly storeCallId: string;
  readonly callId: string;
  readonly retryAt: number;
  /** When a command last got no answer, owner's clock ms; it may still be executed. */
  readonly unansweredAt: number;
  readonly confirmedAt: number;
}

/** The instances that the owner knows, with their maintenance waves and transfers. */
export interface FleetState {
  /** Epoch of the owner that filled the tables; 0 when they are empty. */
  epoch: number;
  /**
   * Time from which commands may be sent, owner's clock ms; commands of the previous owner can no
   * longer be executed then.
   */
  commandsAllowedFrom: number;
  readonly instances: Table<InstanceInfo>;
  readonly list: {
    callId: string;
    pageToken: string;
    /** When the list in progress and the latest complete list were requested, owner's clock ms. */
    requestedAt: number;
    completeRequestedAt: number;
    nextAt: number;
    failures: number;
    readonly pages: Map<string, InstanceInfo>;
  };
  readonly waves: Table<WaveRow>;
  readonly maintenance: Table<MaintenanceRow>;
  readonly maintenanceByWave: TableIndex<MaintenanceRow>;
  readonly transfers: Table<TransferRow>;
  /** The read of the stored transfers; no instance is moved before it is complete. */
  readonly transferLoad: { callId: string; isDone: boolean; retryAt: number };
  /** When a rejected instance may be tried again, by instance, owner's clock ms. */
  readonly rejectedUntil: Map<string, number>;
  /** Time since which no task of a pool has waited for capacity, by pool, owner's clock ms. */
  readonly noBacklogSince: Map<string, number>;
  /** Whether a pool with a backlog or with too many instances needs the list. */
  isListRequested: boolean;
  /** When the pools are evaluated next, owner's clock ms. */
  poolCheckAt: number;
  /** Workers that accept no new runs because their instance is about to go down, with the reason. */
  readonly cordonedWorkers: Map<string, string>;
}

const NEVER = Number.NEGATIVE_INFINITY;

export function createFleet(): FleetState {
  const maintenance = Table.create<MaintenanceRow>('maintenance');
  return {
    epoch: 0,
    commandsAllowedFrom: NEVER,
    instances: Table.create<InstanceInfo>('instances'),
    list: {
      callId: '',
      pageToken: '',
      requestedAt: NEVER,
      completeRequestedAt: NEVER,
      nextAt: NEVER,
      failures: 0,
      pages: new Map(),
    },
    waves: Table.create<WaveRow>('waves'),
    maintenance,
    maintenanceByWave: maintenance.addIndex((row) => row.waveId),
    transfers: Table.create<TransferRow>('transfers'),
    transferLoad: { callId: '', isDone: false, retryAt: NEVER },
    rejectedUntil: new Map(),
    noBacklogSince: new Map(),
    isListRequested: false,
    poolCheckAt: NEVER,
    cordonedWorkers: new Map(),
  };
}

/** Clears the tables for a new ownership; epoch 0 stands for none. */
export function clearFleet(fleet: FleetState, epoch: number, commandsAllowedFrom: number): void {
  fleet.epoch = epoch;
  fleet.commandsAllowedFrom = commandsAllowedFrom;
  const { instances, waves, maintenance, transfers } = fleet;
  for (const table of [instances, waves, maintenance, transfers]) table.clear();
  for (const map of [
    fleet.cordonedWorkers,
    fleet.rejectedUntil,
    fleet.noBacklogSince,
    fleet.list.pages,
  ])
    map.clear();
  Object.assign(fleet.transferLoad, createFleet().transferLoad);
  Object.assign(fleet.list, createFleet().list, { pages: fleet.list.pages });
  fleet.isListRequested = false;
  fleet.poolCheckAt = NEVER;
}

export function formatMaintenanceId(waveId: string, instanceId: string): string {
  return `${waveId}|${instanceId}`;
}

/**
 * Whether the owner has read a complete list of instances. Without one it does not know which worker
 * is on an instance, so that every instance seems to be without runs.
 */
export function hasInstanceList({ list }: FleetState): boolean {
  return list.completeRequestedAt !== Number.NEGATIVE_INFINITY;
}

/** Whether the instance counts as down for its wave, or can no longer be kept from going down. */
export function isCountedAsDown({ phase }: MaintenanceRow): boolean {
  return phase !== 'waiting' && phase !== 'back' && phase !== 'gone';
}

/** Whether the instance needs no further command. */
export function isCommandComplete({ phase }: MaintenanceRow): boolean {
  return phase === 'begun' || phase === 'back' || phase === 'gone';
}

/** Whether a command of the transfer may still be sent or executed. */
export function isTransferPending({ phase }: TransferRow): boolean {
  return phase === 'reserved' || phase === 'ordered';
}
