/** An endpoint that was not confirmed for this long is suspect and is used last. */
export const ENDPOINT_SUSPECT_AFTER_MS = 4_000;
/** An endpoint that was not confirmed for this long is removed. */
export const ENDPOINT_REMOVE_AFTER_MS = 10_000;

/** Whether the endpoint's agent has been silent long enough that other endpoints come first. */
export function isSuspect(endpoint: { readonly confirmedMs: number }, nowMs: number): boolean {
  return nowMs - endpoint.confirmedMs >= ENDPOINT_SUSPECT_AFTER_MS;
}
