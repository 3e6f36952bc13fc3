import { build } from 'esbuild';
import { existsSync } from 'node:fs';
import { rm } from 'node:fs/promises';
import { resolve } from 'node:path';
import { argv } from 'node:process';

/** Packages that need files of their own at run time stay outside the bundles. */
const external = ['@grpc/proto-loader', 'msgpackr-extract'];

/** Folder of the bundles; tests give one of their own. */
const outdir = argv[2] ?? 'dist';

const entryPoints = { bramleyladder: 'src/cli/main.ts' };
if (existsSync('bench/main.ts')) entryPoints.bench = 'bench/main.ts';

const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  sourcemap: false,
  external,
  logLevel: 'warning',
  banner: {
    js: "#!/usr/bin/env node\nimport { createRequire as createNodeRequire } from 'node:module';\nconst require = createNodeRequire(import.meta.url);",
  },
};

// Each command is a chunk of its own, so a process loads only the code of its command.
await rm(outdir, { recursive: true, force: true });
await build({
  ...options,
  entryPoints,
  outdir,
  chunkNames: 'chunks/[name]-[hash]',
  splitting: true,
});

/** Replaces the package name alone; the stand-in itself imports files of the package. */
const undiciPoolPlugin = {
  name: 'undici-pool',
  setup({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolve('tools/undiciPool.mjs') }));
  },
};

// The agent runs on every instance; its bundle holds nothing that only entries and operators need.
await build({
  ...options,
  entryPoints: { 'bramleyladder-agent': 'src/cli/agentMain.ts' },
  outdir,
  plugins: [undiciPoolPlugin],
  minify: true,
});
