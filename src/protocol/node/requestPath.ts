/** Proxies may send the whole URL in the request line. */
const ORIGIN = /^https?:\/\/[^/?]*/i;

/** Path and query of a request. Takes any text that a sender put into the request line. */
export function readRequestTarget(url: string | undefined): {
  readonly path: string;
  readonly query: string;
} {
  const target = (url ?? '/').replace(ORIGIN, '');
  const at = target.indexOf('?');
  return at === -1
    ? { path: target, query: '' }
    : { path: target.slice(0, at), query: target.slice(at + 1) };
}

/** Decodes percent escapes; undefined when they are malformed, which the standard function answers by throwing. */
export function decodePathSegment(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
