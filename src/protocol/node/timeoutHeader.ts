import type { IncomingHttpHeaders } from 'node:http';

/** Longest deadline that a caller may name. */
const MAX_TIMEOUT_MS = 600_000;

/** Deadline that the caller names in `Bramleyladder-Timeout-Ms`; other values count as not given. */
export function readTimeoutMs(headers: IncomingHttpHeaders): number | undefined {
  const timeoutMs = Number(headers['bramleyladder-timeout-ms'] ?? Number.NaN);
  return timeoutMs > 0 && timeoutMs <= MAX_TIMEOUT_MS ? timeoutMs : undefined;
}
