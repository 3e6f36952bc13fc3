import type { IncomingHttpHeaders } from 'node:http';

/** Longest timeout that a caller can set. */
const MAX_TIMEOUT_MS = 600_000;

/** Reads the timeout from the header `Bramleyladder-Timeout-Ms`; invalid values count as absent. */
export function readTimeoutMs(headers: IncomingHttpHeaders): number | undefined {
  const timeoutMs = Number(headers['bramleyladder-timeout-ms'] ?? Number.NaN);
  return timeoutMs > 0 && timeoutMs <= MAX_TIMEOUT_MS ? timeoutMs : undefined;
}
