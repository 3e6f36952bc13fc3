import type { EndpointReport, EndpointRow } from '../../model/endpoint.ts';
import type { EntryState } from '../../model/entryState.ts';

/**
 * Returns whether a report replaces the row. Versions order the reports of one boot of the agent;
 * between two boots the later confirmation decides.
 */
function isNewerReport(report: EndpointReport, confirmedMs: number, row: EndpointRow): boolean {
  if (report.agentBootId !== row.agentBootId) return confirmedMs > row.confirmedMs;
  if (report.version !== row.version) return report.version > row.version;
  return confirmedMs >= row.confirmedMs;
}

/** Merges a report that was confirmed at `confirmedMs` into the endpoint table. */
export function mergeEndpoint(
  state: EntryState,
  report: EndpointReport,
  confirmedMs: number,
): void {
  const previous = state.endpoints.get(report.id);
  if (previous === undefined) {
    state.outbox.append({
      kind: 'log',
      level: 'info',
      event: 'endpoint_joined',
      fields: { endpoint: report.id, service: report.service, zone: report.zone },
    });
  } else if (!isNewerReport(report, confirmedMs, previous)) return;
  const isSameBoot = previous?.agentBootId === report.agentBootId;
  if (previous !== undefined && report.draining && !previous.draining)
    state.outbox.append({
      kind: 'log',
      level: 'info',
      event: 'endpoint_draining',
      fields: { endpoint: report.id },
    });
  state.endpoints.set({
    ...(previous ?? {
      inFlight: 0,
      roundTripMs: 0,
      failuresInRow: 0,
      ejectedUntilMs: 0,
    }),
    ...(isSameBoot ? {} : { failuresInRow: 0, ejectedUntilMs: 0 }),
    ...report,
    confirmedMs: isSameBoot ? Math.max(previous.confirmedMs, confirmedMs) : confirmedMs,
  });
}

/** Removes an endpoint, counts the removal and logs the reason. */
export function removeEndpoint(state: EntryState, endpointId: string, reason: string): void {
  if (state.endpoints.remove(endpointId) === undefined) return;
  state.counters.add('endpoints_removed', { reason });
  state.outbox.append({
    kind: 'log',
    level: 'info',
    event: 'endpoint_removed',
    fields: { endpoint: endpointId, reason },
  });
}
