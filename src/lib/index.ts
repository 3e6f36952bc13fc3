/**
 * Public API of the library: the daemons, their settings, the two tables, the policies, the clients
 * of the platform and the error table. Everything else is internal and may change in any release.
 */

/** Runs an entry. `create` resolves when the entry listens and rejects when a port is in use. */
export { EntryDaemon } from '../daemons/entryDaemon.ts';
/** Runs an agent. `create` resolves when the agent listens and rejects when a port is in use. */
export { AgentDaemon } from '../daemons/agentDaemon.ts';
/** Writes the log lines of a daemon to standard error; a quiet writer discards them. */
export { LogWriter } from '../base/node/logWriter.ts';

/** Settings of an entry. */
export { entrySettingsSchema } from '../daemons/settings.ts';
export type { EntrySettings } from '../daemons/settings.ts';
/** Settings of an agent. */
export { agentSettingsSchema } from '../daemons/settings.ts';
export type { AgentSettings } from '../daemons/settings.ts';
/** Reads and validates a JSON file. Never throws: `Left` holds the error message. */
export { loadJsonFile } from '../daemons/settings.ts';

/** The tables that operators edit, and the whole configuration as saved in the store. */
export {
  configurationSchema,
  poolSchema,
  poolServiceSchema,
  quotaSchema,
  routeSchema,
  tablesSchema,
} from '../model/configuration.ts';
export type {
  Configuration,
  PoolConfig,
  PoolServiceConfig,
  QuotaConfig,
  RouteConfig,
  Tables,
} from '../model/configuration.ts';
/** Validates tables and their cross references. `Left` lists every error with its path. */
export { checkTables } from '../model/tableChecks.ts';
export type { ValueFault } from '../base/common/parse.ts';

/** A job as a caller submits it. Run times and deadlines are in seconds, memory in MB. */
export { jobSubmissionSchema } from '../model/task.ts';
export type { JobSubmission } from '../model/task.ts';
/** Resources of a worker or task: cores, memory in MB and accelerators. */
export { resourcesSchema } from '../model/resources.ts';
export type { Resources } from '../model/resources.ts';
/** Announcement that an endpoint sends to its local agent. */
export { endpointAnnouncementSchema } from '../model/endpoint.ts';
export type { EndpointAnnouncement } from '../model/endpoint.ts';

/** Replaceable policies. Each class has one decision method, which does no I/O. */
export { RoutingPolicy } from '../systems/routing/routingPolicy.ts';
export type { RoutingQuery } from '../systems/routing/routingPolicy.ts';
export { AdmissionPolicy } from '../systems/admission/admissionPolicy.ts';
export { RetryPolicy } from '../systems/requests/retryPolicy.ts';
export { PlacementPolicy } from '../systems/placement/placementPolicy.ts';
export { EvacuationPolicy } from '../systems/evacuation/evacuationPolicy.ts';

/**
 * Client of the platform's key-value store. Calls never throw: without an answer the reply is
 * `unavailable`.
 */
export { StoreClient } from '../protocol/node/storeClient.ts';
export { storeCallSchema, storeReplySchema } from '../model/store.ts';
export type { StoreCall, StoreReply } from '../model/store.ts';
/** Client of the platform's worker. Calls never throw: without an answer the reply is undefined. */
export { WorkerClient } from '../protocol/node/workerClient.ts';
export { workerCallSchema, workerReplySchema } from '../model/workerCall.ts';
export type { WorkerCall, WorkerReply } from '../model/workerCall.ts';

/** Error kinds with their HTTP status, whether a retry is allowed, and whether the work ran. */
export { ERROR_ANSWERS, errorKindSchema } from '../base/common/errors.ts';
export type { ErrorAnswer, ErrorKind, RanState } from '../base/common/errors.ts';
