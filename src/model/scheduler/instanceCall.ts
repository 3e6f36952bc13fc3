import * as z from 'zod/mini';

/** An instance that runs workers, as the platform lists it. */
export const instanceInfoSchema = z.object({
  id: z.string(),
  /** The service whose workers it runs. */
  pool: z.string(),
  state: z.enum(['up', 'moving', 'maintenance', 'down']),
  zone: z.string(),
  /** Instances of one kind are interchangeable. */
  kind: z.string(),
  cpuMillis: z.number(),
  memoryMb: z.number(),
  gpus: z.number(),
  /** Id of the worker on it; empty without one. */
  workerId: z.string(),
});
export type InstanceInfo = z.infer<typeof instanceInfoSchema>;

/** Names the only process that may send commands for instances, with a fencing token that grows with each owner. */
export interface CommandAuthority {
  readonly holder: string;
  readonly fence: number;
}

/** Calls to the platform's instance service. Commands are idempotent. */
export type InstanceCall =
  /** Requests one page of the list; an empty token requests the first. */
  | { readonly op: 'list'; readonly pageToken: string }
  | {
      readonly op: 'move';
      readonly instanceId: string;
      readonly pool: string;
      readonly authority: CommandAuthority;
    }
  | {
      readonly op: 'maintain';
      readonly instanceId: string;
      readonly wave: number;
      readonly authority: CommandAuthority;
    };

/**
 * Why a command was certainly not executed. `busy`: the instance is not up, is leaving or accepts
 * no command. `unknown`: the instance does not exist, or the pool accepts other kinds only.
 */
export type CommandRejection = 'fence' | 'busy' | 'notInWave' | 'unknown';

/** Answer of the service, as its client decodes it. */
export type InstanceReply =
  /** An empty token marks the last page. */
  | {
      readonly kind: 'page';
      readonly instances: readonly InstanceInfo[];
      readonly nextToken: string;
    }
  /** The command was executed, now or earlier; all runs on the instance have ended. */
  | { readonly kind: 'done' }
  | { readonly kind: 'rejected'; readonly reason: CommandRejection }
  /** The service did nothing; the call may be retried. */
  | { readonly kind: 'refused'; readonly message: string }
  /** No answer: a command may have been executed. */
  | { readonly kind: 'unavailable'; readonly message: string };
