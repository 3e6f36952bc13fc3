import { execFileSync } from 'node:child_process';

/** Builds the bundles into a separate folder, because `dist` may be in use. */
export function buildBundle(name: string): string {
  const folder = `node_modules/.cache/bramleyladder/${name}`;
  execFileSync(process.execPath, ['tools/build.mjs', folder]);
  return folder;
}
