import type { LogEffect } from '../../src/model/effects.ts';

/** A log line of a node. */
export interface WorldLog {
  readonly node: string;
  readonly event: string;
  readonly fields: LogEffect['fields'];
}
