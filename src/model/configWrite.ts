import type { Configuration, Tables } from './configuration.ts';

/** What an operator wants to change. */
export type ConfigChange =
  | { readonly kind: 'applyConfig'; readonly baseRevision: number; readonly tables: Tables }
  | { readonly kind: 'setZone'; readonly zone: string; readonly out: boolean };

/** A change of the configuration on its way to the store. The id is the operator's call id. */
export interface ConfigWriteRow {
  readonly id: string;
  readonly change: ConfigChange;
  /** `reading` before the first write; `checking` reads back after a conflict or a lost answer. */
  readonly phase: 'reading' | 'writing' | 'checking';
  readonly token: string;
  readonly deadlineMs: number;
  /** Value of the last write; undefined while nothing was sent to the store. */
  readonly proposedConfiguration: Configuration | undefined;
  /** Version that the last write expects. */
  readonly expectedVersion: number;
  /** Earliest time of the next call when no call is pending. */
  readonly notBeforeMs: number;
  readonly pendingCallId: string | undefined;
  readonly sentMs: number;
  /** Store calls sent so far; numbers the call ids. */
  readonly callCount: number;
}
