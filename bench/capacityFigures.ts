import type { BenchReport } from './report.ts';

/** Growth of section 1 of the design page, and the spread that the page assumes. */
export const GROWTH = {
  regions: 6,
  workers: 1_800,
  tasks: 30_600,
  endpoints: 5_600,
  startsPerSecond: 160,
  changesPerDay: 1_700,
  /** Assumed: one entry for each of the three zones of a region. */
  entriesPerRegion: 3,
} as const;

export const BUDGET = { percent: 3.1, megabytes: 64, bytesPerSecond: 3_072 } as const;
/** Platform facts of section 1; several hundred writes are taken as 300. */
export const STORE = { writes: 300, reads: 2_000 } as const;

const TASKS_PER_WORKER = GROWTH.tasks / GROWTH.workers;

const AGENT_FIGURES = [
  {
    ...{ figure: 'memory MB', unit: 'MB', budget: BUDGET.megabytes },
    mechanism:
      'own bundle without entry code; the worker client and one task use up the margin. Candidates, not tried: a smaller HTTP client for the worker, a smaller young generation of the heap',
  },
  {
    ...{ figure: 'processor %', unit: '% of a core', budget: BUDGET.percent },
    mechanism: 'two long polls of 1 s; grows with the attempts of the endpoint',
  },
  {
    ...{ figure: 'bytes/s', unit: 'bytes/s', budget: BUDGET.bytesPerSecond },
    mechanism: 'two long polls of 1 s; grows with endpoints and tasks of the instance',
  },
] as const;

/** A figure at the growth size with the arithmetic that leads to it. */
export interface CapacityFigure {
  readonly name: string;
  readonly arithmetic: string;
  readonly value: number;
  readonly unit: string;
  readonly budget: number | undefined;
  /** Mechanism that carries the figure, and the size at which it ends. */
  readonly mechanism: string;
}

export function formatNumber(value: number): string {
  if (Math.abs(value) >= 100) return Math.round(value).toLocaleString('en-US');
  return String(Number(value.toPrecision(3)));
}

/** Looks up measured figures; a missing one is an error, so that no page is rendered without it. */
function createLookUp(report: BenchReport): (metric: string) => number {
  const values = new Map(report.rows.map((row) => [row.metric, row.chosen]));
  return (metric) => {
    const value = values.get(metric);
    if (value === undefined) throw new Error(`the bench has no figure "${metric}"`);
    return value;
  };
}

const PER_REGION = {
  endpoints: Math.round(GROWTH.endpoints / GROWTH.regions),
  workers: GROWTH.workers / GROWTH.regions,
};
const OWN = Math.round(PER_REGION.endpoints / GROWTH.entriesPerRegion);
const FROM_PEERS = PER_REGION.endpoints - OWN;
const ENTRIES = GROWTH.regions * GROWTH.entriesPerRegion;

export function buildEntryFigures(report: BenchReport): CapacityFigure[] {
  const get = createLookUp(report);
  const base = get('entry processor % without load');
  const agent = get('entry processor %, slope per agent');
  const endpoint = get('entry processor %, slope per endpoint');
  const sent = get('sync bytes/s sent to one entry, slope per agent');
  const received = get('sync bytes/s received, slope per endpoint');
  const peers = GROWTH.entriesPerRegion - 1;
  const heap = get('entry heap MB, slope per endpoint');
  const resident = get('entry resident MB, empty state');
  const f = formatNumber;
  const percent = base + agent * OWN + endpoint * FROM_PEERS;
  return [
    {
      name: 'processor',
      arithmetic: `${f(base)} + ${f(agent)} × ${OWN} agents + ${f(endpoint)} × ${FROM_PEERS} endpoints of other entries`,
      ...{ value: percent, unit: '% of a core', budget: BUDGET.percent },
      mechanism: `home entries; within the budget up to ${f((BUDGET.percent - base) / (agent + endpoint * peers))} agents per entry, beyond it more entries carry it`,
    },
    {
      name: 'sync bytes, sent and received',
      arithmetic: `${f(sent)} × ${OWN} agents × ${peers} entries + ${f(received)} × ${FROM_PEERS} endpoints`,
      ...{ value: sent * OWN * peers + received * FROM_PEERS, unit: 'bytes/s' },
      budget: BUDGET.bytesPerSecond,
      mechanism: `deltas confirmed every second; the budget ends at ${f(BUDGET.bytesPerSecond / (sent * peers + received * peers))} agents per entry. Coarser confirmations and one summary per agent instead of one report per endpoint have to carry it`,
    },
    {
      name: 'memory, endpoints',
      arithmetic: `${f(resident)} resident when empty + ${f(heap)} × ${PER_REGION.endpoints} endpoints`,
      ...{ value: resident + heap * PER_REGION.endpoints, unit: 'MB', budget: BUDGET.megabytes },
      mechanism:
        'one row per endpoint of the region; the empty process, here that of the bench, is the larger part',
    },
  ];
}

export function buildOwnerFigures(report: BenchReport): CapacityFigure[] {
  const get = createLookUp(report);
  const f = formatNumber;
  const measured = get(`owner processor %, ${PER_REGION.workers} workers`);
  const exponent = get('owner processor, exponent over workers');
  const third = PER_REGION.workers / 3;
  const perShard = get(`owner processor %, ${third} workers`);
  const exchange = get('owner exchange bytes/s, slope per worker');
  const placement = get('1800 workers, 30600 tasks, 160 starts/s: processor in percent');
  const regional = get('600 workers, 10200 tasks, 64 starts/s: processor in percent');
  const heap = get('entry heap MB, slope per task');
  const bytes = get('bytes to the store/s, 8000 tasks');
  const tasks = GROWTH.tasks / GROWTH.regions;
  return [
    {
      name: 'processor, exchanges of workers',
      arithmetic: `measured at ${PER_REGION.workers} workers with 17 tasks each; grows with the power ${f(exponent)} of the workers`,
      ...{ value: measured, unit: '% of a core', budget: BUDGET.percent },
      mechanism: `one turn per exchange; held exchanges are found by worker, so a turn does not grow with them. Three shards per region by the pool's \`shard\` name leave ${f(perShard)} % per owner (measured at ${third} workers); reports of changed runs only have to bring it down further`,
    },
    {
      name: 'processor, placement',
      arithmetic: `measured at 600 workers, 10,200 tasks and 64 starts/s, twice a region; one shard for everything takes ${f(placement)} %`,
      ...{ value: regional, unit: '% of a core', budget: BUDGET.percent },
      mechanism: 'one placement tick per change; more shards per region by the `shard` name',
    },
    {
      name: 'bytes of exchanges',
      arithmetic: `${f(exchange)} × ${PER_REGION.workers} workers`,
      ...{ value: exchange * PER_REGION.workers, unit: 'bytes/s', budget: BUDGET.bytesPerSecond },
      mechanism: `each run is named in full once a second; the budget ends at ${f(BUDGET.bytesPerSecond / exchange)} workers. Reports of changes with a digest of the rest have to carry it`,
    },
    {
      name: 'bytes to the store',
      arithmetic: `measured at 8,000 tasks and 160 starts/s; a region has ${f(tasks)} tasks and ${f(GROWTH.startsPerSecond / GROWTH.regions)} starts/s`,
      ...{ value: bytes, unit: 'bytes/s', budget: BUDGET.bytesPerSecond },
      mechanism:
        'ring and snapshot parts; parts are rewritten in full, so the bytes grow with the tasks of the shard. More shards, or longer rings, have to carry it',
    },
    {
      name: 'memory, tasks and runs',
      arithmetic: `${f(heap * 1_000)} KB × ${f(tasks)} tasks, beside the memory of the entry`,
      ...{ value: heap * tasks, unit: 'MB', budget: BUDGET.megabytes },
      mechanism: `one row and one run per task; ${f(heap * GROWTH.tasks)} MB when one shard holds all tasks`,
    },
  ];
}

export function buildAgentFigures(report: BenchReport): CapacityFigure[] {
  const get = createLookUp(report);
  const exchange = get('owner exchange bytes/s, slope per worker');
  const small = get('agent bytes/s, one endpoint, one worker and one task');
  const perTask = (exchange - small) / (TASKS_PER_WORKER - 1);
  const measured = ['one endpoint', 'one endpoint, one worker and one task'].flatMap((label) =>
    AGENT_FIGURES.map(({ figure, unit, budget, mechanism }) => ({
      name: `${figure.split(' ')[0] ?? figure}, ${label}`,
      ...{ arithmetic: 'measured, does not depend on the fleet', unit, budget, mechanism },
      value: get(`agent ${figure}, ${label}`),
    })),
  );
  return [
    ...measured,
    {
      name: `bytes/s, one endpoint, one worker and ${TASKS_PER_WORKER} tasks`,
      arithmetic: 'encoded exchanges, slope per worker of the owner; without HTTP/2 frames',
      ...{ value: exchange, unit: 'bytes/s', budget: BUDGET.bytesPerSecond },
      mechanism: `each run and each sample is named in full; about ${formatNumber(perTask)} bytes/s per task, so the budget ends at about ${formatNumber(1 + (BUDGET.bytesPerSecond - small) / perTask)} tasks. Shorter reports of unchanged runs have to carry it`,
    },
  ];
}

export function buildStoreFigures(report: BenchReport): CapacityFigure[] {
  const get = createLookUp(report);
  const f = formatNumber;
  const reads = get('entry store reads/s');
  const writes = get('entry store writes/s');
  const ownerReads = get('owner store reads/s without changes') - reads;
  const ownerWrites = get('owner store writes/s without changes') - writes;
  const ledger = get('store writes/s, 8000 tasks');
  const { regions } = GROWTH;
  const changes = GROWTH.changesPerDay / 86_400;
  return [
    {
      name: 'writes',
      arithmetic: `${f(writes)} × ${ENTRIES} entries + ${f(ownerWrites)} × ${regions} owners + ${f(ledger)} × ${regions} ledgers + ${f(changes)} changes of the configuration`,
      value: writes * ENTRIES + ownerWrites * regions + ledger * regions + changes,
      ...{ unit: 'writes/s', budget: STORE.writes },
      mechanism: `group commit; ends at about ${f((STORE.writes - writes * ENTRIES) / (ledger + ownerWrites))} shards with ordinary changes, at ${f(STORE.writes / 50)} when each shard writes 50 urgent batches/s`,
    },
    {
      name: 'reads and watches',
      arithmetic: `${f(reads)} × ${ENTRIES} entries + ${f(ownerReads)} × ${regions} owners`,
      value: reads * ENTRIES + ownerReads * regions,
      ...{ unit: 'reads/s', budget: STORE.reads },
      mechanism: `conditional reads of one key; ends at about ${f(STORE.reads / reads)} entries`,
    },
  ];
}
