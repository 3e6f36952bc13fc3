/** Time without a confirmation after which an endpoint is suspect and is used last. */
export const ENDPOINT_SUSPECT_AFTER_MS = 4_000;
/** Time without a confirmation after which an endpoint is removed. */
export const ENDPOINT_REMOVE_AFTER_MS = 10_000;

/** Returns whether the endpoint is unconfirmed for so long that other endpoints are preferred. */
export function isSuspect(endpoint: { readonly confirmedMs: number }, nowMs: number): boolean {
  return nowMs - endpoint.confirmedMs >= ENDPOINT_SUSPECT_AFTER_MS;
}
