import type { AgentRow } from './rows.ts';

/** A silent worker whose runs count as running until their lease has certainly ended. */
export interface LeaseWaitRow {
  /** Incarnation of the worker, `AGENT|WORKER|BORN`. */
  readonly id: string;
  /** When the owner last received the worker's lists, or loaded its tables, owner's clock ms. */
  readonly silentSince: number;
  /** Time until which the lease may last, owner's clock ms. */
  readonly endsAt: number;
  /** Who may have granted the lease last. */
  readonly grantedBy: 'thisOwner' | 'earlierOwner';
  /** Link to the agent of the worker's instance; `unknown` without a record of it. */
  readonly agentLink: AgentRow['link'] | 'unknown';
  /** How long the agent has told this owner that leases may last, ms; undefined without a report. */
  readonly reportedLeaseMs: number | undefined;
}
