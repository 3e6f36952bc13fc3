/** Proxies may send the whole URL in the request line. */
const URL_ORIGIN = /^https?:\/\/[^/?]*/i;

/** Path and query of a request. Takes any text that a sender put into the request line. */
export function readRequestTarget(url: string | undefined): {
  readonly path: string;
  readonly query: string;
} {
  const target = (url ?? '/').replace(URL_ORIGIN, '');
  const queryStart = target.indexOf('?');
  return queryStart === -1
    ? { path: target, query: '' }
    : { path: target.slice(0, queryStart), query: target.slice(queryStart + 1) };
}

/** Decodes percent escapes; undefined when they are malformed, which the standard function answers by throwing. */
export function decodePathSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
