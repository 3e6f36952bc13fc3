import { mkdtempSync, rmSync } from 'node:fs';
import { expect } from 'vitest';
import { BUNDLE_FOLDER } from '../support/platformProgram.ts';
import type { SoakOptions } from './soakParts.ts';
import { SoakRun } from './soakRun.ts';

/** Runs a soak, and leaves its logs if it breaks a promise. */
export async function expectPromisesKept(
  options: Omit<SoakOptions, 'folder' | 'bundles'>,
): Promise<void> {
  const folder = mkdtempSync('node_modules/.cache/bramleyladder/soak-');
  const run = SoakRun.create({ ...options, folder, bundles: BUNDLE_FOLDER });
  const { broken, accepted, runs } = await run.run();
  expect(broken, `logs are in ${folder}`).toEqual([]);
  expect(accepted).toBeGreaterThan(0);
  expect(runs).toBeGreaterThan(0);
  rmSync(folder, { recursive: true });
}
