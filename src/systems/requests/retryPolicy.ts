import type { SeededRandom } from '../../base/common/seededRandom.ts';

/** What a retry policy may look at. */
export interface RetryQuery {
  /** Attempts made so far; at least 1. */
  readonly attempts: number;
  /** Tokens of the service's retry budget. */
  readonly tokens: number;
  /** Time that the endpoint asked to wait, in milliseconds. */
  readonly retryAfterMs: number | undefined;
  readonly random: SeededRandom;
}

/** A granted retry, or the reason against it. */
export type RetryDecision =
  | { readonly isGranted: true; readonly delayMs: number; readonly cost: number }
  | { readonly isGranted: false; readonly reason: string };

/** Chooses whether and when a request that may be tried again is tried again. */
export abstract class RetryPolicy {
  abstract choose(query: RetryQuery): RetryDecision;
}

/** Baseline: retries at once and without a budget. */
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

/** Full-jitter backoff under a token budget per service, so that retries cannot multiply an outage. */
export class BudgetedRetry extends RetryPolicy {
  private constructor() {
    super();
  }

  static create(): BudgetedRetry {
    return new BudgetedRetry();
  }

  override choose(query: RetryQuery): RetryDecision {
    if (query.tokens < 1) return { isGranted: false, reason: 'budget_empty' };
    const bound = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (query.attempts - 1));
    const delayMs = Math.max(query.random.takeUnit() * bound, query.retryAfterMs ?? 0);
    return { isGranted: true, delayMs, cost: 1 };
  }
}
