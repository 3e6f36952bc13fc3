/**
 * Public interface of the library: the daemons, their settings, the two tables, the policies, the
 * clients of the platform and the error table. Everything else may change in any release.
 */

/** Runs an entry. `create` resolves when it listens; it throws when a port is taken. */
export { EntryDaemon } from '../daemons/entryDaemon.ts';
/** Runs an agent. `create` resolves when it listens; it throws when a port is taken. */
export { AgentDaemon } from '../daemons/agentDaemon.ts';
/** Writes the log lines of a daemon to standard error, or nothing when it is created quiet. */
export { LogWriter } from '../base/node/logWriter.ts';

/** Settings of an entry. */
export { entrySettingsSchema } from '../daemons/settings.ts';
export type { EntrySettings } from '../daemons/settings.ts';
/** Settings of an agent. */
export { agentSettingsSchema } from '../daemons/settings.ts';
export type { AgentSettings } from '../daemons/settings.ts';
/** Reads a JSON file by a schema. Never throws: a fault is the left side, as one text. */
export { loadJsonFile } from '../daemons/settings.ts';

/** The tables that operators edit, and the whole configuration as the store keeps it. */
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
/** Validates tables with their references. The left side lists every fault with its path. */
export { checkTables } from '../model/tableChecks.ts';
export type { ValueFault } from '../base/common/parse.ts';

/** A job as a caller submits it. Run times and deadlines are in seconds, memory in MB. */
export { jobSubmissionSchema } from '../model/task.ts';
export type { JobSubmission } from '../model/task.ts';
/** Cores, memory in MB and accelerators. */
export { resourcesSchema } from '../model/resources.ts';
export type { Resources } from '../model/resources.ts';
/** What an endpoint announces to the agent beside it. */
export { endpointAnnouncementSchema } from '../model/endpoint.ts';
export type { EndpointAnnouncement } from '../model/endpoint.ts';

/** Behaviour that varies. Each class has one method that decides; it does no I/O. */
export { RoutingPolicy } from '../systems/routing/routingPolicy.ts';
export type { RoutingQuery } from '../systems/routing/routingPolicy.ts';
export { AdmissionPolicy } from '../systems/admission/admissionPolicy.ts';
export { RetryPolicy } from '../systems/requests/retryPolicy.ts';
export { PlacementPolicy } from '../systems/placement/placementPolicy.ts';
export { EvacuationPolicy } from '../systems/evacuation/evacuationPolicy.ts';

/** The platform's key-value store. Calls never throw; no answer is the reply `unavailable`. */
export { StoreClient } from '../protocol/node/storeClient.ts';
export { storeCallSchema, storeReplySchema } from '../model/store.ts';
export type { StoreCall, StoreReply } from '../model/store.ts';
/** The platform's worker. Calls never throw; no answer is undefined. */
export { WorkerClient } from '../protocol/node/workerClient.ts';
export { workerCallSchema, workerReplySchema } from '../model/workerCall.ts';
export type { WorkerCall, WorkerReply } from '../model/workerCall.ts';

/** Every error kind with its HTTP status, whether to send again, and whether the work ran. */
export { ERROR_ANSWERS, errorKindSchema } from '../base/common/errors.ts';
export type { ErrorAnswer, ErrorKind, RanState } from '../base/common/errors.ts';
