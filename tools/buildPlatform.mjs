import { build } from 'esbuild';
import { mkdir, rename, writeFile } from 'node:fs/promises';
import { basename, join } from 'node:path';
import { argv, pid } from 'node:process';

/** Bundles the two programs of the users' platform; each holds only what its role needs. */
const outdir = argv[2] ?? 'target';

const { outputFiles } = await build({
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
  write: false,
});

// A process may start from these files at any time, also while another build runs.
await mkdir(outdir, { recursive: true });
for (const { path, contents } of outputFiles) {
  const temporary = `${path}.${pid}`;
  await writeFile(temporary, contents);
  await rename(temporary, join(outdir, basename(path)));
}
