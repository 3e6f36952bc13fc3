import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import type { GaugeSample } from '../../src/base/node/metrics.ts';
import {
  listProcessGauges,
  listRunnerAgentGauges,
  listSchedulerGauges,
} from '../../src/daemons/schedulerGauges.ts';
import { createWorld, JOB } from '../support/jobWorld.ts';

const page = readFileSync('docs/OPERATIONS.md', 'utf8');
/** What the two programs on the platform consist of, besides what they share with the others. */
const SOURCES = [
  'src/systems/scheduler',
  'src/systems/runnerAgent',
  'src/platform',
  'src/base/node/boundedLog.ts',
  'src/daemons/failureMonitor.ts',
  'src/daemons/loopDaemon.ts',
  'src/daemons/schedulerDaemon.ts',
  'src/daemons/serviceCalls.ts',
  'src/daemons/metricsAddress.ts',
  'src/daemons/runnerAgentDaemon.ts',
  'src/daemons/exchangeTimes.ts',
];

function listFiles(path: string): string[] {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path).flatMap((name) => listFiles(join(path, name)));
}

const source = SOURCES.flatMap(listFiles)
  .map((path) => readFileSync(path, 'utf8'))
  .join('\n');

/** First columns of the table under a heading: the name, and the cells after it. */
function listRows(heading: string): string[][] {
  const start = page.indexOf(`\n## ${heading}\n`);
  const end = page.indexOf('\n## ', start + 1);
  return page
    .slice(start, end)
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) =>
      line
        .split('|')
        .map((cell) => cell.trim())
        .slice(1, -1),
    );
}

/** `name{label,label}` of each row of a table whose second column holds labels. */
function listDocumented(heading: string): string[] {
  return listRows(heading)
    .map(([name = '', labels = '']) =>
      formatMetric(
        name.replaceAll('`', ''),
        [...labels.matchAll(/`([a-z_]+)`/g)].map((match) => match[1]!),
      ),
    )
    .sort();
}

function formatMetric(name: string, labels: Iterable<string>): string {
  return `${name}{${[...new Set(labels)].sort().join(',')}}`;
}

/** Metrics that the source names, with the labels of the call, by a pattern up to the name. */
function listCalls(pattern: RegExp): string[] {
  const labels = new Map<string, Set<string>>();
  for (const match of source.matchAll(pattern)) {
    const known = labels.get(match[1]!) ?? new Set<string>();
    for (const pair of (match[2] ?? '').split(','))
      if (pair.trim() !== '') known.add(pair.split(':')[0]!.trim());
    labels.set(match[1]!, known);
  }
  return [...labels].map(([name, known]) => formatMetric(name, known)).sort();
}

function listGauges(samples: readonly GaugeSample[]): string[] {
  return [...new Set(samples.map(({ name, labels }) => formatMetric(name, Object.keys(labels))))];
}

describe('operations page', () => {
  describe('metrics', () => {
    it('does not name other counters or labels than the processes count', () => {
      const counted = listCalls(/counters\s*\.add\(\s*'([a-z_]+)'(?:,\s*\{([^}]*)\})?/g);
      expect(counted.length).toBeGreaterThan(20);
      expect(listDocumented('Counters')).toEqual(counted);
    });

    it('does not name other durations or labels than the processes measure', () => {
      const inSystems = listCalls(
        /recordDuration\(\s*state,\s*'([a-z_]+)',[^;{]*?(?:\{([^}]*)\})?\s*,?\s*\)/g,
      );
      const inDaemons = listCalls(/recordDuration\(\s*'([a-z_]+)',\s*\{([^}]*)\}/g);
      expect(inSystems.length).toBeGreaterThan(5);
      expect(inDaemons.length).toBeGreaterThan(3);
      expect(listDocumented('Durations')).toEqual([...inSystems, ...inDaemons].sort());
    });

    it('does not name other gauges or labels than the pages show', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 9, cpuMillis: 1_000 }]);
      world.run(500);
      const shown = [
        ...listSchedulerGauges(entry.state, world.clock.now),
        ...listRunnerAgentGauges(world.agents[0]!.state),
        ...listProcessGauges({ leftOutLines: 0 }),
      ];
      expect(listDocumented('Gauges')).toEqual(listGauges(shown).sort());
    });
  });

  describe('log', () => {
    it('does not name other events than the processes write', () => {
      const patterns = [
        /\.write\(\s*'(?:info|warn|error)',\s*'([a-z_]+)'/g,
        /log(?:Agent)?Event\(\s*state,\s*'(?:info|warn|error)',\s*'([a-z_]+)'/g,
        /logEvent\(\s*state,\s*[^,;]*\? '\w+' : '\w+',\s*'([a-z_]+)'/g,
        /recordUnreadableEntry\(\s*state,\s*'([a-z_]+)'/g,
      ];
      const written = patterns.flatMap((pattern) =>
        [...source.matchAll(pattern)].map((match) => match[1]!),
      );
      expect(written.length).toBeGreaterThan(40);
      const documented = listRows('Events').map(([name = '']) => name.replaceAll('`', ''));
      expect(documented.sort()).toEqual([...new Set(written)].sort());
    });
  });
});
