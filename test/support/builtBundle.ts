import { execFileSync } from 'node:child_process';

/** Builds the bundles into a folder of the test's own, because `dist` may be in use. */
export function buildBundle(name: string): string {
  const folder = `node_modules/.cache/bramleyladder/${name}`;
  execFileSync(process.execPath, ['tools/build.mjs', folder]);
  return folder;
}
