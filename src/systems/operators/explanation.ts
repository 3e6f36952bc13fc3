import * as z from 'zod/mini';
import type { Table } from '../../base/common/table.ts';
import type { EntryState } from '../../model/entryState.ts';

/** Output of `explain`: the rows of the subject by table, and the decisions about it. */
export interface Explanation {
  readonly subject: string;
  readonly entry: string;
  readonly rows: Readonly<Record<string, unknown>>;
  readonly decisions: readonly {
    readonly ageMs: number;
    readonly action: string;
    readonly reason: string;
  }[];
  readonly note?: string;
}

/** Tables that `explain` searches by id. */
function listTables(state: EntryState): readonly Table<{ readonly id: string }>[] {
  const { tasks, workers, endpoints, entries, duties, attempts, throttles, waits, refusals } =
    state;
  const tables = [tasks, workers, endpoints, entries, duties, attempts, throttles, waits, refusals];
  return tables as unknown as Table<{
    readonly id: string;
  }>[];
}

function collectRows(state: EntryState, subject: string): Record<string, unknown> {
  const rows: Record<string, unknown> = {};
  for (const table of listTables(state)) {
    const row = table.get(subject);
    if (row !== undefined) rows[table.name] = row;
  }
  const request = state.requests.get(subject);
  if (request !== undefined) {
    // The body and the headers are the caller's data and are not shown.
    const { request: callerRequest, ...rest } = request;
    rows.requests = { ...rest, method: callerRequest.method, path: callerRequest.path };
  }
  const { routes, pools, zonesOut } = state.configuration.current;
  const route = routes.find((candidate) => candidate.name === subject);
  const pool = pools.find((candidate) => candidate.name === subject);
  if (route !== undefined) rows.routes = route;
  if (pool !== undefined) rows.pools = pool;
  if (pools.some((candidate) => candidate.zones.includes(subject)))
    rows.zones = { id: subject, out: zonesOut.includes(subject) };
  return rows;
}

function isAbout(decisionSubject: string, subject: string): boolean {
  return decisionSubject === subject || decisionSubject.startsWith(`${subject}#`);
}

export function hasSubject(state: EntryState, subject: string): boolean {
  if (Object.keys(collectRows(state, subject)).length > 0) return true;
  return [...state.decisions.values()].some((decision) => isAbout(decision.subject, subject));
}

export function buildExplanation(
  state: EntryState,
  subject: string,
  nowMs: number,
  note?: string,
): Explanation {
  const decisions = [...state.decisions.values()]
    .filter((decision) => isAbout(decision.subject, subject))
    .map(({ atMs, action, reason }) => ({ ageMs: Math.round(nowMs - atMs), action, reason }));
  return {
    subject,
    entry: state.self.info.id,
    rows: collectRows(state, subject),
    decisions,
    ...(note === undefined ? {} : { note }),
  };
}

const answerSchema = z.object({
  rows: z.record(z.string(), z.unknown()),
  decisions: z.array(z.unknown()),
});

/** Returns whether another entry's explanation contains a row or a decision about its subject. */
export function isExplained(value: unknown): boolean {
  const parsed = z.safeParse(answerSchema, value);
  if (!parsed.success) return false;
  return Object.keys(parsed.data.rows).length > 0 || parsed.data.decisions.length > 0;
}
