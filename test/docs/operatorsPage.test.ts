import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { createJsonSchemas } from '../../tools/jsonSchemas.ts';

/** Events and counters of the scheduler on the platform stand on the operations page. */
const page = ['docs/operators.md', 'docs/OPERATIONS.md']
  .map((path) => readFileSync(path, 'utf8'))
  .join('\n');

function listSources(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((item) => {
    const path = join(folder, item.name);
    return item.isDirectory() ? listSources(path) : [path];
  });
}

/** Names that a pattern captures anywhere under `src`. */
function listNames(pattern: RegExp): string[] {
  const names = listSources('src').flatMap((path) =>
    [...readFileSync(path, 'utf8').matchAll(pattern)].map((match) => match[1]!),
  );
  return [...new Set(names)].sort();
}

function listFields(schema: unknown): string[] {
  if (typeof schema !== 'object' || schema === null) return [];
  return Object.entries(schema).flatMap(([key, value]: [string, unknown]) =>
    key === 'properties'
      ? [...Object.keys(value as object), ...Object.values(value as object).flatMap(listFields)]
      : listFields(value),
  );
}

function listMissing(names: Iterable<string>): string[] {
  return [...new Set(names)].filter((name) => !page.includes(`\`${name}\``));
}

describe("operators' page", () => {
  for (const [name, schema] of Object.entries(createJsonSchemas())) {
    it(`does not leave out a field of ${name}`, () => {
      expect(listFields(schema).length).toBeGreaterThan(5);
      expect(listMissing(listFields(schema))).toEqual([]);
    });
  }

  it('does not leave out a counter', () => {
    const counters = listNames(/counters\s*\.add\(\s*'([a-z_]+)'/g);
    expect(counters.length).toBeGreaterThan(5);
    expect(listMissing(counters)).toEqual([]);
  });

  it('does not leave out a duration of the metrics page', () => {
    const durations = listNames(/recordDuration\(\s*(?:state,\s*)?'([a-z_]+)'/g);
    expect(durations.length).toBeGreaterThan(8);
    expect(listMissing(durations)).toEqual([]);
  });

  it('does not leave out a log event', () => {
    const events = [
      ...listNames(/event: '([a-z_]+)'/g),
      ...listNames(/\.write\(\s*'(?:info|warn|error)',\s*'([a-z_]+)'/g),
      ...listNames(/log(?:Endpoint|Member)\(state, '([a-z_]+)'/g),
      ...listNames(/recordUnreadableEntry\(\s*state,\s*'([a-z_]+)'/g),
      ...listNames(/log(?:Agent)?Event\(\s*state,\s*'(?:info|warn|error)',\s*'([a-z_]+)'/g),
    ];
    expect(events.length).toBeGreaterThan(10);
    expect(listMissing(events)).toEqual([]);
  });
});
