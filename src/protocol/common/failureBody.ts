import type { Failure } from '../../base/common/errors.ts';
import { ERROR_ANSWERS } from '../../base/common/errors.ts';

const MS_PER_SECOND = 1_000;

/** Body of every error response to callers and operators. */
export interface FailureBody {
  readonly error: string;
  readonly message: string;
  /** Whether a later retry of the same call may succeed. */
  readonly retryable: boolean;
  /** Whether the work was executed: `no`, `yes` or `unknown`. */
  readonly ran: string;
  readonly requestId: string;
}

/** Formats the value of the Retry-After header: whole seconds, at least 1. */
export function formatRetryAfter(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));
}

export function formatFailureBody(failure: Failure, requestId: string): FailureBody {
  const { retryable, ran } = ERROR_ANSWERS[failure.kind];
  return { error: failure.kind, message: failure.message, retryable, ran, requestId };
}
