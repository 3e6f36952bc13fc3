/** Scheme and host of an absolute URL, which proxies may send in the request line. */
const URL_ORIGIN = /^https?:\/\/[^/?]*/i;

/** Splits a request target into path and query. Accepts any text, because senders control it. */
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

/** Decodes percent escapes; returns undefined where `decodeURIComponent` throws. */
export function decodePathSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
