import * as z from 'zod/mini';

/** An instance that runs workers, as the platform lists it. */
export const instanceInfoSchema = z.object({
  id: z.string(),
  /** The service whose workers it runs. */
  pool: z.string(),
  state: z.enum(['up', 'moving', 'maintenance', 'down']),
  zone: z.string(),
  /** Instances of one kind may stand in for each other. */
  kind: z.string(),
  cpuMillis: z.number(),
  memoryMb: z.number(),
  gpus: z.number(),
  /** Id of the worker on it; empty without one. */
  workerId: z.string(),
});
export type InstanceInfo = z.infer<typeof instanceInfoSchema>;

/** Names the only process that may order an instance, with a token that grows from owner to owner. */
export interface CommandAuthority {
  readonly holder: string;
  readonly fence: number;
}

/** Calls to the platform's service that knows the instances. Orders may be repeated without harm. */
export type InstanceCall =
  /** One page of the list; an empty token asks for the first. */
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
 * Why an order was certainly not carried out. `busy`: the instance is not up, leaves or cannot be
 * ordered. `unknown`: there is no such instance, or the pool takes other ones.
 */
export type CommandRejection = 'fence' | 'busy' | 'notInWave' | 'unknown';

/** Answer of the service, as its client decodes it. */
export type InstanceReply =
  /** An empty token stands for the last page. */
  | {
      readonly kind: 'page';
      readonly instances: readonly InstanceInfo[];
      readonly nextToken: string;
    }
  /** The order has been carried out, now or earlier; what ran on the instance has ended. */
  | { readonly kind: 'done' }
  | { readonly kind: 'rejected'; readonly reason: CommandRejection }
  /** The service did nothing and may be asked again. */
  | { readonly kind: 'refused'; readonly message: string }
  /** No answer: an order may have been carried out. */
  | { readonly kind: 'unavailable'; readonly message: string };
