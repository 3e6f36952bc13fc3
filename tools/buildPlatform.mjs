import { build } from 'esbuild';
import { rm } from 'node:fs/promises';
import { argv } from 'node:process';

/** Bundles the two programs of the users' platform; each holds only what its role needs. */
const outdir = argv[2] ?? 'target';

await rm(outdir, { recursive: true, force: true });
await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  outdir,
  outExtension: { '.js': '.mjs' },
  entryPoints: { entry: 'src/platform/entryMain.ts', agent: 'src/platform/agentMain.ts' },
  // Optional native parts of a library; it works without them.
  external: ['bufferutil', 'utf-8-validate'],
  banner: {
    js: "import { createRequire as createNodeRequire } from 'node:module';\nconst require = createNodeRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
