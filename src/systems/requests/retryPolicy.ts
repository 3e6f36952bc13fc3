import type { SeededRandom } from '../../base/common/seededRandom.ts';

/** Input of a retry decision. */
export interface RetryQuery {
  /** Number of attempts so far; at least 1. */
  readonly attempts: number;
  /** Tokens of the service's retry budget. */
  readonly tokens: number;
  /** Delay that the endpoint requested by `Retry-After`, in milliseconds. */
  readonly retryAfterMs: number | undefined;
  readonly random: SeededRandom;
}

/** A granted retry with its delay and cost in tokens, or the reason for its refusal. */
export type RetryDecision =
  | { readonly isGranted: true; readonly delayMs: number; readonly cost: number }
  | { readonly isGranted: false; readonly reason: string };

/** Chooses whether and when a retryable request is retried. */
export abstract class RetryPolicy {
  abstract choose(query: RetryQuery): RetryDecision;
}

/** Baseline: retries immediately and without a budget. */
export class ImmediateRetry extends RetryPolicy {
  private constructor() {
    super();
  }

  static create(): ImmediateRetry {
    return new ImmediateRetry();
  }

  override choose(): RetryDecision {
    return { isGranted: true, delayMs: 0, cost: 0 };
  }
}

const INITIAL_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 250;
export const RETRY_TOKENS_PER_REQUEST = 0.1;
export const MAX_RETRY_TOKENS = 10;
export const INITIAL_RETRY_TOKENS = 3;

/**
 * Backs off exponentially with full jitter under a token budget per service, so that retries cannot
 * multiply the load during an outage.
 */
export class BudgetedRetry extends RetryPolicy {
  private constructor() {
    super();
  }

  static create(): BudgetedRetry {
    return new BudgetedRetry();
  }

  override choose(query: RetryQuery): RetryDecision {
    if (query.tokens < 1) return { isGranted: false, reason: 'budget_empty' };
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (query.attempts - 1));
    const delayMs = Math.max(query.random.takeUnit() * maxDelayMs, query.retryAfterMs ?? 0);
    return { isGranted: true, delayMs, cost: 1 };
  }
}
