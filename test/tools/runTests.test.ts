import { spawnSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

const LISTED = '- red.test.ts > group > fails | npx vitest run red.test.ts | 1 is not 2 | issue 1';
const RED = `import { describe, expect, it } from 'vitest';
describe('group', () => { it('fails', () => { expect(1).toBe(2); }); });`;
const GREEN = `import { it } from 'vitest';
it('passes', () => {});`;
const UNHANDLED = `import { it } from 'vitest';
it('rejects late', () => { void Promise.reject(new Error('late')); });`;
const BROKEN_HOOK = `import { beforeAll, describe, it } from 'vitest';
describe('hook', () => { beforeAll(() => { throw new Error('hook'); }); it('waits', () => {}); });`;

/** The tests of a folder inside the repository, where the packages are found. */
describe('the run of all tests', () => {
  let root: string;

  beforeEach(() => {
    mkdirSync(resolve('target'), { recursive: true });
    root = mkdtempSync(join(resolve('target'), 'run-tests-'));
  });

  afterEach(() => {
    rmSync(root, { recursive: true, force: true });
  });

  function runTests(files: Record<string, string>) {
    writeFileSync(join(root, 'vitest.config.mjs'), 'export default {};\n');
    for (const [name, text] of Object.entries(files)) writeFileSync(join(root, name), text);
    // The child is a run of its own and not a worker of this one.
    const environment = Object.entries(process.env).filter(([name]) => !name.startsWith('VITEST'));
    const { status, stdout } = spawnSync(process.execPath, ['tools/runTests.mjs', root], {
      encoding: 'utf8',
      env: Object.fromEntries(environment),
    });
    return { status, lines: stdout.trimEnd().split('\n') };
  }

  it('does not fail for listed failures, and ends with the counts', () => {
    const { status, lines } = runTests({
      'red.test.ts': RED,
      'green.test.ts': GREEN,
      'KNOWN-RED.txt': LISTED,
    });
    expect(status).toBe(0);
    expect(lines).toContain('known failure: red.test.ts > group > fails (issue 1): 1 is not 2');
    expect(lines.at(-1)).toBe('1 passed, 0 failed, 1 skipped');
  });

  it.each([
    ['a failure that is not listed', { 'red.test.ts': RED }, '0 passed, 1 failed, 0 skipped'],
    [
      'a listed test that passes',
      {
        'red.test.ts': RED.replace('toBe(2)', 'toBe(1)'),
        'green.test.ts': GREEN,
        'KNOWN-RED.txt': LISTED,
      },
      '1 passed, 1 failed, 0 skipped',
    ],
    [
      'a listed test that does not exist',
      { 'green.test.ts': GREEN, 'KNOWN-RED.txt': LISTED },
      '1 passed, 1 failed, 0 skipped',
    ],
    [
      'an entry in another form',
      { 'green.test.ts': GREEN, 'KNOWN-RED.txt': '- red.test.ts fails' },
      '1 passed, 1 failed, 0 skipped',
    ],
    [
      'a file that does not load',
      { 'green.test.ts': GREEN, 'broken.test.ts': 'throw new Error("broken");' },
      '1 passed, 1 failed, 0 skipped',
    ],
    ['a failing hook', { 'hook.test.ts': BROKEN_HOOK }, '0 passed, 1 failed, 1 skipped'],
    [
      'an error that nothing catches',
      { 'late.test.ts': UNHANDLED },
      '1 passed, 1 failed, 0 skipped',
    ],
    ['a run without tests', {}, '0 passed, 1 failed, 0 skipped'],
  ])('does not pass %s', (_, files, counts) => {
    const { status, lines } = runTests(files);
    expect(lines.at(-1)).toBe(counts);
    expect(status).toBe(1);
  });
});
