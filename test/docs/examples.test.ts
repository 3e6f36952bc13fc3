import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import {
  agentSettingsSchema,
  entrySettingsSchema,
  loadJsonFile,
} from '../../src/daemons/settings.ts';
import { checkTables } from '../../src/model/tableChecks.ts';
import { createJsonSchemas } from '../../tools/jsonSchemas.ts';

function readJson(path: string): unknown {
  return JSON.parse(readFileSync(path, 'utf8'));
}

describe('examples', () => {
  describe('settings', () => {
    for (const name of readdirSync('examples/settings')) {
      it(`${name} does not differ from the schema`, () => {
        const schema = name.startsWith('entry') ? entrySettingsSchema : agentSettingsSchema;
        const loaded = loadJsonFile(`examples/settings/${name}`, schema);
        expect(loaded.swap().orDefault('')).toBe('');
      });
    }
  });

  describe('tables', () => {
    for (const name of ['hanbit', 'thanh-son']) {
      it(`${name} has no faults in fields or references`, () => {
        const checked = checkTables(readJson(`examples/${name}.tables.json`));
        expect(checked.swap().orDefault([])).toEqual([]);
      });
    }
  });
});

describe('committed JSON Schemas', () => {
  for (const [name, schema] of Object.entries(createJsonSchemas())) {
    it(`${name} is not older than the zod schema; run npm run schemas`, () => {
      expect(readJson(`schemas/${name}`)).toEqual(JSON.parse(JSON.stringify(schema)));
    });
  }
});
