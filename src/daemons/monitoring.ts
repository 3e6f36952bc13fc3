import type { ServerResponse } from 'node:http';
import type { GaugeSample, Metrics } from '../base/node/metrics.ts';
import type { EntryState } from '../model/entryState.ts';
import type { JsonRequest } from '../protocol/node/jsonServer.ts';

const MICROSECONDS_PER_SECOND = 1_000_000;

/** Tables whose number of rows is a gauge. */
const TABLE_NAMES = [
  'entries',
  'endpoints',
  'requests',
  'attempts',
  'heldExchanges',
  'homeAgents',
  'duties',
  'tasks',
  'pendingChanges',
  'workers',
  'runs',
  'decisions',
] as const;

function listGauges(state: EntryState): GaugeSample[] {
  const tables = TABLE_NAMES.map((name) => ({
    name: 'table_rows',
    help: 'rows of a table of the entry',
    labels: { table: name },
    value: state[name].size,
  }));
  const cpu = process.cpuUsage();
  const unlabelled = [
    ['configuration_revision', 'revision in force', state.configuration.current.revision],
    ['zones_out', 'zones out of service', state.configuration.current.zonesOut.length],
    ['resident_bytes', 'resident memory of the process', process.memoryUsage.rss()],
    [
      'cpu_seconds',
      'processor time of the process since its start',
      (cpu.user + cpu.system) / MICROSECONDS_PER_SECOND,
    ],
  ] as const;
  return [
    ...tables,
    ...unlabelled.map(([name, help, value]) => ({ name, help, labels: {}, value })),
  ];
}

/** Answers `/metrics` and `/health`. Returns false for other paths. */
export function handleMonitoringRequest(
  state: EntryState,
  metrics: Metrics,
  request: JsonRequest,
  response: ServerResponse,
): boolean {
  if (request.method !== 'GET') return false;
  if (request.path === '/health') {
    const { phase } = state.self;
    response
      .writeHead(phase === 'serving' ? 200 : 503, { 'content-type': 'application/json' })
      .end(JSON.stringify({ phase }));
    return true;
  }
  if (request.path !== '/metrics') return false;
  void metrics.render(state.counters.list(), listGauges(state)).then(
    (text) => {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
    },
    (error: unknown) => {
      response.writeHead(500).end(String(error));
    },
  );
  return true;
}
