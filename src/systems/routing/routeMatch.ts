import type { Configuration, HttpMethod, RouteConfig } from '../../model/configuration.ts';

function removePort(host: string): string {
  const colon = host.lastIndexOf(':');
  return colon > host.lastIndexOf(']') ? host.slice(0, colon) : host;
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}

/** Finds the route with matching host and method that has the longest matching path prefix. */
export function findRoute(
  configuration: Configuration,
  method: HttpMethod,
  host: string,
  path: string,
): RouteConfig | undefined {
  const pathWithoutQuery = path.split('?', 1)[0] ?? path;
  let best: RouteConfig | undefined;
  for (const route of configuration.routes) {
    if (route.hosts.length > 0 && !route.hosts.includes(removePort(host).toLowerCase())) continue;
    if (route.methods.length > 0 && !route.methods.includes(method)) continue;
    if (!hasPrefix(pathWithoutQuery, route.pathPrefix)) continue;
    if (best === undefined || route.pathPrefix.length > best.pathPrefix.length) best = route;
  }
  return best;
}
