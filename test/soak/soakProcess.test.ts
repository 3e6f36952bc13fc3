import { execFileSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { SoakHistory } from './history.ts';
import { SoakProcess } from './soakProcess.ts';

const CACHE = 'node_modules/.cache/bramleyladder';

describe('process of a soak', () => {
  it('does not write its log after its folder has been removed', async () => {
    mkdirSync(CACHE, { recursive: true });
    const folder = mkdtempSync(join(CACHE, 'soak-process-'));
    const bundle = join(folder, 'writer.mjs');
    writeFileSync(bundle, "setInterval(() => console.log('x'.repeat(60_000)), 1);");
    let isUp = false;
    const history = SoakHistory.create();
    const writer = SoakProcess.create('writer', bundle, {}, folder, history, (next) => {
      isUp = next;
    });
    writer.start();
    expect(isUp).toBe(true);
    await delay(500);
    // Output that nobody has read yet arrives after the end of the process.
    execFileSync(process.execPath, ['-e', 'setTimeout(() => {}, 200)']);
    writer.dispose();
    rmSync(folder, { recursive: true });
    while (history.exits.size === 0) await delay(10);
    await delay(100);
    expect(history.exits.list()).toMatchObject([{ process: 'writer', isAsked: true }]);
  });
});
