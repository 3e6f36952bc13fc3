import { build } from 'esbuild';
import { readFileSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { format } from 'prettier';

// Writes docs/CAPACITY.md from the figures in docs/sweep.json and docs/capacity.json.
const bundle = resolve('node_modules/.cache/bramleyladder/capacityPage.mjs');
await build({
  entryPoints: ['bench/capacityPage.ts'],
  outfile: bundle,
  bundle: true,
  platform: 'node',
  format: 'esm',
  logLevel: 'warning',
});
const { renderCapacityPage } = await import(pathToFileURL(bundle).href);
const report = JSON.parse(readFileSync('docs/capacity.json', 'utf8'));
const sweep = JSON.parse(readFileSync('docs/sweep.json', 'utf8'));
const page = renderCapacityPage(report, sweep);
writeFileSync('docs/CAPACITY.md', await format(page, { parser: 'markdown' }));
