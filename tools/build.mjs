import { build } from 'esbuild';
import { existsSync } from 'node:fs';

/** Packages that need files of their own at run time stay outside the bundles. */
const external = ['@grpc/proto-loader', 'msgpackr-extract'];

const entryPoints = { bramleyladder: 'src/cli/main.ts' };
if (existsSync('bench/main.ts')) entryPoints.bench = 'bench/main.ts';

await build({
  entryPoints,
  outdir: 'dist',
  outExtension: { '.js': '.js' },
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
});
