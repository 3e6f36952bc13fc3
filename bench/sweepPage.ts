import * as z from 'zod/mini';
import { formatNumber, GROWTH } from './capacityFigures.ts';

const valuesSchema = z.array(z.number());

const sweepRowSchema = z.object({
  role: z.enum(['agent', 'owner', 'configuration', 'recovery']),
  figure: z.string(),
  unit: z.string(),
  budget: z.optional(z.number()),
  /** Median and maximum over the machines of the role, one value for each size. */
  middle: valuesSchema,
  busiest: valuesSchema,
});
type SweepRow = z.infer<typeof sweepRowSchema>;

/** Largest multiple of the sizes measured that a slope is carried to. */
const MAX_EXTRAPOLATION = 20;

/** Results of `fleetbench sweep`, as `docs/sweep.json` keeps them. */
export const sweepSchema = z.object({
  site: z.string(),
  commit: z.string(),
  architecture: z.string(),
  /** Machines of the system in each day. */
  sizes: valuesSchema,
  /** Machines at the size of two years. */
  target: z.number(),
  /** Share of the requests that were served, one value for each size. */
  served: valuesSchema,
  rows: z.array(sweepRowSchema),
});
export type Sweep = z.infer<typeof sweepSchema>;

const MECHANISMS: Readonly<Record<SweepRow['role'], string>> = {
  agent: 'one long poll of its worker and one link to the owner; does not grow with the fleet',
  owner:
    'one entry owns all scheduling and keeps a link to every agent and every other entry; entries that hold the links of their zone and merge reports into changes have to carry it beyond',
  configuration: 'a watch at each entry, verified every 0.8 s',
  recovery: 'the store holds all that must last; entries claim the ownership, agents reopen links',
};

/** Exponent by which the figure of the busiest machine grows with the number of machines. */
function computePower({ busiest }: SweepRow, sizes: readonly number[]): number | undefined {
  const first = busiest[0] ?? 0;
  const last = busiest.at(-1) ?? 0;
  if (first <= 0 || last <= 0) return undefined;
  return Math.log(last / first) / Math.log((sizes.at(-1) ?? 1) / (sizes[0] ?? 1));
}

function renderRow(row: SweepRow, { sizes, target }: Sweep): string {
  const power = computePower(row, sizes);
  const last = row.busiest.at(-1) ?? 0;
  const largest = sizes.at(-1) ?? 1;
  const atTarget = power === undefined ? undefined : last * (target / largest) ** power;
  const endsAt =
    power === undefined || power <= 0.02 || row.budget === undefined
      ? undefined
      : largest * (row.budget / last) ** (1 / power);
  const isOver = row.budget !== undefined && (atTarget ?? last) > row.budget;
  const values = sizes.map(
    (_, index) =>
      `${formatNumber(row.middle[index] ?? 0)} / ${formatNumber(row.busiest[index] ?? 0)}`,
  );
  const cells = [
    `${row.role}: ${row.figure}${row.unit === '' ? '' : `, ${row.unit}`}`,
    ...values,
    power === undefined ? '–' : power.toFixed(2),
    atTarget === undefined ? '–' : formatNumber(atTarget),
    row.budget === undefined ? '–' : formatNumber(row.budget),
    row.budget === undefined ? '–' : isOver ? '**passes the budget**' : 'within',
    formatLimit(endsAt, sizes),
  ];
  return `| ${cells.join(' | ')} |`;
}

/** Formats the size at which a budget ends; the slope says nothing far beyond the sizes measured. */
function formatLimit(endsAt: number | undefined, sizes: readonly number[]): string {
  const smallest = sizes[0] ?? 1;
  if (endsAt === undefined || endsAt > MAX_EXTRAPOLATION * (sizes.at(-1) ?? 1)) return '–';
  return endsAt < smallest
    ? `below ${formatNumber(smallest)} machines`
    : `${formatNumber(Math.round(endsAt))} machines`;
}

/** Number of machines at which the owner's processor time reaches one core. */
export function estimateCoreLimit(sweep: Sweep): number {
  const row = sweep.rows.find(({ role, figure }) => role === 'owner' && figure === 'processor');
  const power = row === undefined ? undefined : computePower(row, sweep.sizes);
  if (row === undefined || power === undefined) throw new Error('no row: owner: processor');
  return (sweep.sizes.at(-1) ?? 1) * (100 / (row.busiest.at(-1) ?? 1)) ** (1 / power);
}

/** Renders the part of the capacity page on the programs of the users' platform. */
export function renderSweep(sweep: Sweep): string {
  const { site, commit, architecture, sizes, target, served, rows } = sweep;
  const heads = sizes.map((size) => `${formatNumber(size)} machines`);
  const columns = [
    'figure',
    ...heads,
    'power',
    `at ${formatNumber(target)}`,
    'budget',
    'verdict',
    'budget ends at',
  ];
  const roles = [...new Set(rows.map(({ role }) => role))];
  return `## Programs on the users' platform

From \`fleetbench sweep\` on ${site}, commit ${commit}, ${architecture} (\`docs/sweep.json\`): one day at ${sizes.map(formatNumber).join(', ')} machines of the system; it served ${served.join(', ')} of what was asked. Each size has the middle and the busiest machine of a role. The power is that of the busiest from the smallest to the largest size; it leads to the size of two years.

That size: ${formatNumber(GROWTH.workers)} workers with 3,500 accelerators, 12,000 jobs a day and ${formatNumber(GROWTH.startsPerSecond)} starts a second, 5,600 latency-critical and 25,000 batch tasks, 83 teams, urgent starts within 2.8 s, 6 regions with 18 zones, ${formatNumber(GROWTH.changesPerDay)} changes of configuration a day in force within 6 s; 18 instances fail and 580 are restarted on an ordinary day, a rack or switch goes every month or two, a zone every other month, and regions lose each other for minutes several times a year. The sweep has no accelerators, one team and one region, so nothing here speaks for those.

| ${columns.join(' | ')} |
| ${columns.map(() => '---').join(' | ')} |
${rows.map((row) => renderRow(row, sweep)).join('\n')}

Mechanisms:

${roles.map((role) => `- ${role}: ${MECHANISMS[role]}.`).join('\n')}

The busiest entry is the owner; the middle one is any other entry. By its slope the owner fills one core near ${formatNumber(Math.round(estimateCoreLimit(sweep) / 10) * 10)} machines. The budget for control is passed at ${formatNumber(sizes[0] ?? 0)} machines already; nothing was built against it yet.
`;
}
