import { build } from 'esbuild';
import { existsSync, readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import process from 'node:process';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { startVitest } from 'vitest/node';

// Runs every test below ROOT (this repository without an argument) and compares the failures with its
// KNOWN-RED.txt: `node tools/runTests.mjs [ROOT]`. DEVELOPERS.md describes the result.
const repository = dirname(dirname(fileURLToPath(import.meta.url)));
const root = resolve(process.argv[2] ?? repository);
const outdir = resolve(repository, 'node_modules/.cache/bramleyladder/runTests');
await build({
  entryPoints: ['knownRed', 'testCounts', 'testRun'].map((name) =>
    resolve(repository, `tools/${name}.ts`),
  ),
  outdir,
  outExtension: { '.js': '.mjs' },
  platform: 'node',
  format: 'esm',
  logLevel: 'warning',
});
const load = (name) => import(pathToFileURL(resolve(outdir, `${name}.mjs`)).href);
const { compareKnownRed, parseKnownRed } = await load('knownRed');
const { formatTestCounts } = await load('testCounts');
const { collectTestRun } = await load('testRun');

const list = resolve(root, 'KNOWN-RED.txt');
const { entries, faults } = parseKnownRed(existsSync(list) ? readFileSync(list, 'utf8') : '');
// The summary reporter counts listed failures as failed, so its line is left to this script.
const vitest = await startVitest('test', [], {
  root,
  run: true,
  reporters: ['default'],
});
const run = collectTestRun(vitest.state.getTestModules(), vitest.state.getUnhandledErrors());
const { counts, lines } = compareKnownRed(entries, { ...run, faults: [...faults, ...run.faults] });
for (const line of lines) process.stdout.write(`${line}\n`);
process.stdout.write(`\n${formatTestCounts(counts)}\n`, () => {
  process.exit(counts.failed === 0 ? 0 : 1);
});
