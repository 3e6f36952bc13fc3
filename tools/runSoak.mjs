import { build } from 'esbuild';
import { dirname, resolve } from 'node:path';
import { chdir } from 'node:process';
import { fileURLToPath, pathToFileURL } from 'node:url';

// Runs the randomized fault soak by hand; docs/soak.md has its options.
const repository = dirname(dirname(fileURLToPath(import.meta.url)));
chdir(repository);
const outfile = resolve(repository, 'node_modules/.cache/bramleyladder/soak/soak.mjs');
await build({
  entryPoints: ['test/soak/soakCommand.ts'],
  outfile,
  bundle: true,
  packages: 'external',
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
});
await import(pathToFileURL(outfile).href);
