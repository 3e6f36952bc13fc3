import type { CapacityFigure } from './capacityFigures.ts';
import {
  buildAgentFigures,
  buildEntryFigures,
  buildOwnerFigures,
  buildStoreFigures,
  formatNumber,
  GROWTH,
} from './capacityFigures.ts';
import type { BenchReport } from './report.ts';
import type { Sweep } from './sweepPage.ts';
import { renderSweep } from './sweepPage.ts';

interface RoleText {
  readonly title: string;
  readonly state: string;
  readonly messages: string;
  readonly build: (report: BenchReport) => CapacityFigure[];
}

const ROLES: readonly RoleText[] = [
  {
    title: 'Entry',
    state:
      'configuration, entry list, one row per endpoint of the region, requests in progress, key records',
    messages:
      'one `Exchange` a second per agent that has it as home entry, `Sync` to and from each other entry of the region',
    build: buildEntryFigures,
  },
  {
    title: 'Owner of a duty',
    state: 'the ledger of its shard: workers, tasks, runs, samples; the same process is an entry',
    messages: 'one `Exchange` a second per worker, `JobCall`, appends to the store',
    build: buildOwnerFigures,
  },
  {
    title: 'Agent',
    state: 'its endpoints and attempts, the runs of its worker, the entry list',
    messages: 'one `Exchange` a second with its home entry and one with the owner',
    build: buildAgentFigures,
  },
  {
    title: 'Command line',
    state: 'none; it ends with its call',
    messages: `one call to an entry; ${formatNumber(GROWTH.changesPerDay)} changes a day are ${formatNumber(GROWTH.changesPerDay / 86_400)} calls/s`,
    build: () => [],
  },
  {
    title: "Platform's store",
    state: 'configuration, duties, entry list, ledgers',
    messages: 'reads, range reads, watches and writes of entries',
    build: buildStoreFigures,
  },
];

function renderFigure(figure: CapacityFigure): string {
  const { name, arithmetic, value, unit, budget, mechanism } = figure;
  const verdict = budget === undefined ? '–' : value <= budget ? 'within' : '**passes the budget**';
  const limit = budget === undefined ? '–' : formatNumber(budget);
  return `| ${name} | ${arithmetic} | ${formatNumber(value)} ${unit} | ${limit} | ${verdict} | ${mechanism} |`;
}

function renderRole(role: RoleText, report: BenchReport): string {
  const figures = role.build(report);
  const head = [`## ${role.title}`, `State: ${role.state}.`, `Messages: ${role.messages}.`];
  if (figures.length === 0) return head.join('\n\n');
  const table = [
    '| figure | arithmetic | at growth | budget | verdict | mechanism and where it ends |',
    '| --- | --- | --- | --- | --- | --- |',
    ...figures.map(renderFigure),
  ];
  return [...head, table.join('\n')].join('\n\n');
}

/** Renders the capacity page from a sweep of the users' bench and the report of the capacity bench. */
export function renderCapacityPage(report: BenchReport, sweep: Sweep): string {
  const { regions, workers, tasks, endpoints, startsPerSecond, entriesPerRegion } = GROWTH;
  const measured = report.rows.map((row) => `| ${row.metric} | ${formatNumber(row.chosen)} |`);
  const sections = [
    '# Capacity',
    'This page is generated from `docs/sweep.json` and `docs/capacity.json` by `npm run capacity-page`. `npm run capacity-measure` measures the second file again.',
    renderSweep(sweep).trimEnd(),
    '## The earlier path',
    `Programs for requests and jobs without steps. Size: ${workers.toLocaleString('en-US')} workers, ${tasks.toLocaleString('en-US')} tasks, ${endpoints.toLocaleString('en-US')} endpoints and ${startsPerSecond} starts/s in ${regions} regions; assumed are ${entriesPerRegion} entries per region, one agent per endpoint, an even spread over regions and one shard per region. A shard of a region has a sixth of the workers and tasks. The budget per daemon is 3.1 % of a core, 64 MB and 3 KB/s.`,
    ...ROLES.map((role) => renderRole(role, report)),
    '## Not measured here',
    'gRPC and HTTP of entries and owners (the `overhead` bench measures them for requests), requests, key claims, the time until a configuration is in force (`configuration` bench), urgent starts, quotas of the teams, accelerators, resident memory of an entry daemon (the figure above is the process of the bench), and more than one region at a time.',
    '## Measured',
    ['| metric | figure |', '| --- | --- |', ...measured].join('\n'),
    report.notes.map((note) => `- ${note}`).join('\n'),
  ];
  return `${sections.join('\n\n')}\n`;
}
