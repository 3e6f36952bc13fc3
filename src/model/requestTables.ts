import type { TableIndex } from '../base/common/table.ts';
import { Table } from '../base/common/table.ts';
import type { QueueRow, ServiceLoadRow } from './admission.ts';
import { formatQueueId } from './admission.ts';
import type { EndpointHealthRow, EndpointRow } from './endpoint.ts';
import type {
  KeyReplicaWriteRow,
  KeyHistoryRow,
  KeyHandoffRow,
  KeyReplicaState,
  KeyRow,
  KeyOutcomeRow,
} from './key.ts';
import type { AttemptRow, RequestRow } from './request.ts';

/** Retry budget of a service; each retry costs tokens. */
export interface RetryBudgetRow {
  /** Service name. */
  readonly id: string;
  readonly tokens: number;
}

/** Tables of requests, endpoints and idempotency keys. */
export interface RequestTables {
  readonly endpoints: Table<EndpointRow>;
  readonly requests: Table<RequestRow>;
  readonly requestsByPhase: TableIndex<RequestRow>;
  /**
   * Lower bound of the deadlines of all requests; the time of the next check for expired requests.
   */
  earliestRequestDeadlineMs: number;
  /** Queued requests that wait for the admission decision, under the key `new`. */
  readonly newRequests: TableIndex<RequestRow>;
  /** Admitted queued requests by queue id, oldest first. */
  readonly queuedRequests: TableIndex<RequestRow>;
  readonly queues: Table<QueueRow>;
  readonly serviceLoads: Table<ServiceLoadRow>;
  readonly endpointHealth: Table<EndpointHealthRow>;
  readonly endpointsByService: TableIndex<EndpointRow>;
  readonly endpointsByAgent: TableIndex<EndpointRow>;
  readonly attempts: Table<AttemptRow>;
  readonly attemptsByPhase: TableIndex<AttemptRow>;
  readonly retryBudgets: Table<RetryBudgetRow>;
  /** Records of the idempotency keys that this entry holds. */
  readonly keys: Table<KeyRow>;
  readonly keyReplicaState: KeyReplicaState;
  readonly keyReplicaWrites: Table<KeyReplicaWriteRow>;
  readonly keyOutcomes: Table<KeyOutcomeRow>;
  readonly keyHandoffs: Table<KeyHandoffRow>;
  readonly keyHistories: Table<KeyHistoryRow>;
}

export function createRequestTables(): RequestTables {
  const requests = Table.create<RequestRow>('requests');
  const attempts = Table.create<AttemptRow>('attempts');
  const endpoints = Table.create<EndpointRow>('endpoints');
  return {
    endpoints,
    requests,
    requestsByPhase: requests.addIndex((row) => row.phase),
    earliestRequestDeadlineMs: Number.POSITIVE_INFINITY,
    newRequests: requests.addIndex((row) =>
      row.phase === 'queued' && row.admittedMs === undefined ? 'new' : undefined,
    ),
    queuedRequests: requests.addIndex((row) =>
      row.phase === 'queued' && row.admittedMs !== undefined
        ? formatQueueId(row.route, row.priority)
        : undefined,
    ),
    queues: Table.create('queues'),
    serviceLoads: Table.create('serviceLoads'),
    endpointHealth: Table.create('endpointHealth'),
    endpointsByService: endpoints.addIndex((row) => row.service),
    endpointsByAgent: endpoints.addIndex((row) => row.agentId),
    attempts,
    attemptsByPhase: attempts.addIndex((row) => row.phase),
    retryBudgets: Table.create('retryBudgets'),
    keys: Table.create('keys'),
    keyReplicaState: { responseBytes: 0, membershipViews: [], isHandedOff: false },
    keyReplicaWrites: Table.create('keyCopies'),
    keyOutcomes: Table.create('keySettlements'),
    keyHandoffs: Table.create('keyHandOvers'),
    keyHistories: Table.create('keyCovers'),
  };
}
