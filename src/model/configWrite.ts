import type { Configuration, Tables } from './configuration.ts';

/** A change of the configuration that an operator requests. */
export type ConfigChange =
  | { readonly kind: 'applyConfig'; readonly baseRevision: number; readonly tables: Tables }
  | { readonly kind: 'setZone'; readonly zone: string; readonly out: boolean };

/** A change of the configuration that is being written. The id is the operator's call id. */
export interface ConfigWriteRow {
  readonly id: string;
  readonly change: ConfigChange;
  /** `reading` before the first write; `checking` reads back after a conflict or a lost reply. */
  readonly phase: 'reading' | 'writing' | 'checking';
  readonly token: string;
  readonly deadlineMs: number;
  /** Value of the last write; undefined before the first one. */
  readonly proposedConfiguration: Configuration | undefined;
  /** Version that the last write expects. */
  readonly expectedVersion: number;
  /** Earliest time of the next call; calls are delayed after a failure. */
  readonly notBeforeMs: number;
  readonly pendingCallId: string | undefined;
  readonly sentMs: number;
  /** Number of store calls sent; part of the call ids. */
  readonly callCount: number;
}
