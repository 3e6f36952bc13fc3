import type { TableIndex } from '../../base/common/table.ts';
import { Table } from '../../base/common/table.ts';
import type { InstanceInfo } from './instanceCall.ts';
import type { MaintenanceWave } from './maintenanceWave.ts';

/** A wave at its owner. */
export interface WaveRow {
  /** The wave's number as text. */
  readonly id: string;
  readonly wave: MaintenanceWave;
  /** `loading` until the stored progress has been read. */
  readonly phase: 'loading' | 'running' | 'completed';
  /** When the wave was first seen, owner's clock ms. */
  readonly startedAt: number;
  /** Number of the latest change; a change counts only once {@link storedChange} has reached it. */
  readonly change: number;
  readonly storedChange: number;
  readonly storeVersion: number;
  /** The store call on its way; empty without one. */
  readonly callId: string;
  /** Change that the call on its way stores. */
  readonly sentChange: number;
  readonly retryAt: number;
}

/**
 * Where an instance of a wave stands. `waiting`: not begun. `draining`: nothing starts there, and
 * what runs ends or is stopped. `reserved`: empty; the store is told that it will be ordered.
 * `ordered`: the order may have been sent. `begun`: the platform has confirmed it. `back`: it is up
 * again. `gone`: there is no such instance, or the platform says that it is not of the wave.
 */
export type MaintenancePhase =
  'waiting' | 'draining' | 'reserved' | 'ordered' | 'begun' | 'back' | 'gone';

/** An instance of a wave. */
export interface MaintenanceRow {
  /** `WAVE|INSTANCE`. */
  readonly id: string;
  readonly waveId: string;
  readonly instanceId: string;
  readonly phase: MaintenancePhase;
  /** Change of the wave that has to be stored before the order may be sent. */
  readonly reservedChange: number;
  /** From when on what still runs there is stopped, owner's clock ms. */
  readonly stopAt: number;
  /** The order on its way; empty without one. */
  readonly callId: string;
  readonly retryAt: number;
  readonly rejections: number;
  /** When an order last had no answer, owner's clock ms; it may still be carried out. */
  readonly unansweredAt: number;
  readonly begunAt: number;
}

/** An instance of a spare pool that was moved to a pool in need, or is on its way there or back. */
export interface TransferRow {
  /** Id of the instance. */
  readonly id: string;
  /** The spare pool that it belongs to, and the pool that it works for. */
  readonly home: string;
  readonly pool: string;
  readonly direction: 'out' | 'home';
  /**
   * `reserved`: the store is told that it will be ordered. `ordered`: the order may have been sent.
   * `settled`: the platform has confirmed it. `dropped`: it was rejected, or is home again; the store
   * is told to forget it.
   */
  readonly phase: 'reserved' | 'ordered' | 'settled' | 'dropped';
  /** Whether the store holds the row as it is. */
  readonly isStored: boolean;
  readonly storeVersion: number;
  /** The store call and the order on their way; empty without one. */
  readonly storeCallId: string;
  readonly callId: string;
  readonly retryAt: number;
  /** When an order last had no answer, owner's clock ms; it may still be carried out. */
  readonly unansweredAt: number;
  readonly confirmedAt: number;
}

/** The instances, as far as an owner needs to know them, and what it has ordered of them. */
export interface FleetState {
  /** Epoch of the ownership that the tables belong to; 0 when they are empty. */
  epoch: number;
  /** From when on orders may be sent, owner's clock ms; those of the owner before are over then. */
  commandsAllowedFrom: number;
  readonly instances: Table<InstanceInfo>;
  readonly list: {
    callId: string;
    pageToken: string;
    /** When the list being read was asked for, and the latest complete one; owner's clock ms. */
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
  /** The read of the stored transfers; nothing is moved before it is done. */
  readonly transferLoad: { callId: string; isDone: boolean; retryAt: number };
  /** Until when instances that were rejected are left alone, owner's clock ms. */
  readonly rejectedUntil: Map<string, number>;
  /** Since when no task of a pool has waited for room, owner's clock ms. */
  readonly noBacklogSince: Map<string, number>;
  /** Whether a pool in need, or one with too many instances, asks for the list. */
  isListRequested: boolean;
  /** When the pools are looked at next, owner's clock ms. */
  poolCheckAt: number;
  /** Workers that take nothing new because their instance is about to go down, with the reason. */
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

/** Empties the tables for another ownership, or for none (epoch 0). */
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

/** Whether the instance counts as down for its wave, or will before anybody can call it back. */
export function isCountedAsDown({ phase }: MaintenanceRow): boolean {
  return phase !== 'waiting' && phase !== 'back' && phase !== 'gone';
}

/** Whether nothing is left to be ordered of the instance. */
export function isCommandComplete({ phase }: MaintenanceRow): boolean {
  return phase === 'begun' || phase === 'back' || phase === 'gone';
}

/** Whether an order of the transfer may still be sent or carried out. */
export function isTransferPending({ phase }: TransferRow): boolean {
  return phase === 'reserved' || phase === 'ordered';
}
