import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LOCAL_QUEUE, LocalScheduler } from '../../src/cli/localScheduler.ts';
import { findOptionText } from '../../src/cli/optionText.ts';
import { buildBundle } from '../support/builtBundle.ts';

interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

describe('job commands', () => {
  let program = '';
  let scheduler: LocalScheduler;
  const folder = mkdtempSync(join(tmpdir(), 'job-commands-'));

  beforeAll(async () => {
    program = join(buildBundle('jobs'), 'bramleyladder.js');
    scheduler = await LocalScheduler.create();
    await scheduler.waitReady();
  });

  afterAll(() => {
    scheduler.dispose();
    rmSync(folder, { recursive: true });
  });

  async function runCommand(...args: string[]): Promise<CommandResult> {
    return new Promise((resolve) => {
      execFile(process.execPath, [program, 'job', ...args], (error, stdout, stderr) => {
        resolve({ code: error === null ? 0 : Number(error.code), stdout, stderr });
      });
    });
  }

  function listJobOptions(id: string, queue = LOCAL_QUEUE.name): string[] {
    return ['--queue', queue, '--id', id, '--address', scheduler.origin];
  }

  describe('arguments', () => {
    for (const args of [
      ['submit'],
      ['pause'],
      ['status'],
      ['status', '--queue', 'q', '--id', '1', '--address', 'nowhere'],
      ['cancel', '--address', 'http://127.0.0.1:1'],
      ['submit', 'missing.json', '--queue', 'q', '--id', '1', '--address', 'http://127.0.0.1:1'],
    ]) {
      it(`job ${args.join(' ')}: exits with code 2 and an error for invalid usage`, async () => {
        const { code, stderr } = await runCommand(...args);
        expect(code).toBe(2);
        expect(stderr.trim().length).toBeGreaterThan(0);
      });
    }

    it('does not convert a numeric-looking id to a number', () => {
      const rawArgs = ['job', '--id', '00000000000001e5', '--queue=007'];
      expect(findOptionText(rawArgs, 'id')).toBe('00000000000001e5');
      expect(findOptionText(rawArgs, 'queue')).toBe('007');
      expect(findOptionText(rawArgs, 'address')).toBeUndefined();
    });
  });

  describe('calls to an entry', () => {
    it('does not stop watching a job with a numeric-looking id before it ends', async () => {
      const id = '00000000000001e5';
      const submitted = await runCommand('submit', 'examples/steps.json', ...listJobOptions(id));
      expect(submitted).toEqual({ code: 0, stdout: `${id} accepted\n`, stderr: '' });
      const watched = await runCommand('watch', ...listJobOptions(id));
      expect(watched).toMatchObject({ code: 0, stderr: '' });
      expect(watched.stdout).toMatch(new RegExp(`${id} completed\n$`));
      const shown = await runCommand('status', ...listJobOptions(id), '--json');
      expect(JSON.parse(shown.stdout)).toEqual({ jobId: id, phase: 'completed' });
      expect(scheduler.listStarts(id)).toHaveLength(5);
    });

    it('does not report a cancelled job as completed', async () => {
      const id = '00000000000000e2';
      // A long-running task cannot end before the cancellation on a busy machine.
      const file = join(folder, 'lasting.json');
      writeFileSync(file, JSON.stringify({ steps: [{ count: 1, longRunning: true }] }));
      expect(await runCommand('submit', file, ...listJobOptions(id))).toMatchObject({ code: 0 });
      expect(await runCommand('cancel', ...listJobOptions(id))).toMatchObject({ code: 0 });
      const watched = await runCommand('watch', ...listJobOptions(id));
      expect(watched).toMatchObject({ code: 1, stdout: `${id} cancelled\n` });
    });

    it('does not omit the reason of a refusal', async () => {
      const id = '00000000000000e3';
      const unknownJob = await runCommand('status', ...listJobOptions(id));
      expect(unknownJob).toMatchObject({ code: 1 });
      expect(unknownJob.stderr).toContain('job_unknown');
      const unknownQueue = await runCommand('cancel', ...listJobOptions(id, 'absent'));
      expect(unknownQueue.stderr).toContain('no_route');
      const invalid = await runCommand('submit', 'examples/job.json', ...listJobOptions(id));
      expect(invalid).toMatchObject({ code: 2 });
      expect(invalid.stderr).toContain('steps:');
    });
  });

  describe('local', () => {
    it('does not lose, duplicate or reorder the tasks of the sample jobs', async () => {
      const { code, stdout, stderr } = await runCommand('local', '--json');
      expect(`${code} ${stderr}`).toBe('0 ');
      const jobs = JSON.parse(stdout) as {
        name: string;
        phases: string[];
        starts: { task: string; worker: string; ms: number }[];
        left: number;
      }[];
      expect(jobs.map(({ name, phases }) => `${name} ${phases.at(-1) ?? ''}`)).toEqual([
        'steps completed',
        'gang completed',
        'lasting cancelled',
      ]);
      expect(jobs.map(({ starts }) => starts.length)).toEqual([4, 3, 2]);
      expect(jobs.map(({ left }) => left)).toEqual([0, 0, 0]);
      const [steps, gang] = jobs;
      expect(steps!.starts.at(-1)).toMatchObject({ task: '0.1.0' });
      expect(steps!.starts.at(-1)!.ms).toBeGreaterThanOrEqual(600);
      expect(new Set(gang!.starts.map(({ worker }) => worker)).size).toBe(2);
    });
  });
});
