import { execFile } from 'node:child_process';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { serveExplanation } from '../../src/protocol/node/explanationFront.ts';
import { buildJobExplanation } from '../../src/systems/scheduler/jobExplanation.ts';
import { buildBundle } from '../support/builtBundle.ts';
import { createWorld } from '../support/jobWorld.ts';
import type { EntryNode } from '../support/worldNodes.ts';

/** Job ids that a conversion to a number would change. */
const DIGITS_JOB = '0012345678901234';
const EXPONENT_JOB = '12e4567890123456';

describe('explain job', () => {
  const { world } = createWorld(2, 2);
  const owner = world.owner!;
  const follower = world.entries.find((entry) => entry !== owner)!;
  const servers: Server[] = [];
  let program = '';

  /** Serves the explanations of an entry over HTTP. Returns the address. */
  async function serve(entry: EntryNode): Promise<string> {
    const server = createServer((request, response) => {
      const isServed = serveExplanation(request, response, {
        explain: (jobId) => buildJobExplanation(entry.state, jobId, world.clock.now),
      });
      if (!isServed) response.writeHead(404).end();
    });
    servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  async function runExplain(...args: string[]) {
    return new Promise<{ code: number; stdout: string; stderr: string }>((resolve) => {
      execFile(process.execPath, [program, 'explain', ...args], (error, stdout, stderr) => {
        resolve({ code: error === null ? 0 : Number(error.code), stdout, stderr });
      });
    });
  }

  beforeAll(() => {
    program = join(buildBundle('cli-explain'), 'bramleyladder.js');
    world.behave = (_, run) =>
      run === 1 ? { durationMs: 100, end: 'failed' } : { durationMs: 60_000, end: 'done' };
    world.submit(owner, DIGITS_JOB, [{ count: 1 }, { cpuMillis: 900_000, after: [0] }]);
    world.submit(owner, EXPONENT_JOB, [{ cpuMillis: 900_000 }]);
    world.run(1_000);
  });

  afterAll(() => {
    for (const server of servers) server.close();
  });

  describe('output', () => {
    it('does not omit steps, runs or moves', async () => {
      const { code, stdout } = await runExplain('job', DIGITS_JOB, '--address', await serve(owner));
      const lines = stdout.trimEnd().split('\n');
      expect(lines[0]).toMatch(
        new RegExp(
          `^job ${DIGITS_JOB}: running, queue \\S+, accepted 1.0 s ago, owner ${owner.id}$`,
        ),
      );
      expect(lines.slice(1)).toEqual([
        'step 0.0: waiting 0, ready 0, active 1, done 0',
        'step 0.1: waiting 1, ready 0, active 0, done 0; waits for step 0 (0 of 1 done)',
        expect.stringMatching(
          new RegExp(
            `^run ${DIGITS_JOB}.0.0.0#2: running on \\S+ for 0.\\d s, \\d+% done, pace 100%$`,
          ),
        ),
        expect.stringMatching(
          new RegExp(`^0.\\d s ago: run ${DIGITS_JOB}.0.0.0#1 off \\S+: failed$`),
        ),
      ]);
      expect(code).toBe(0);
    });

    it('does not convert a numeric-looking id to a number', async () => {
      const { code, stdout } = await runExplain(
        'job',
        EXPONENT_JOB,
        '--json',
        '--address',
        await serve(owner),
      );
      expect(JSON.parse(stdout)).toMatchObject({
        kind: 'job',
        job: EXPONENT_JOB,
        phase: 'pending',
      });
      expect(code).toBe(0);
    });
  });

  describe('at a follower', () => {
    it('does not exit with code 0 at a follower, which only reports the owner', async () => {
      const { code, stdout } = await runExplain(
        'job',
        DIGITS_JOB,
        '--address',
        await serve(follower),
      );
      expect(stdout).toBe(
        `job ${DIGITS_JOB}: running at ${follower.id} (follower)\nowner: ${owner.id}, link address ${owner.id}:7000\n`,
      );
      expect(code).toBe(1);
    });
  });

  describe('invalid requests', () => {
    it.each([
      ['an unknown job id', ['job', 'ffffffffffffffff'], 1, 'knows no job'],
      ['a subject other than a job', ['task', DIGITS_JOB], 2, 'use explain job <id>'],
    ])('does not exit with code 0 for %s', async (_, args, exitCode, message) => {
      const { code, stderr } = await runExplain(...args, '--address', await serve(owner));
      expect(stderr).toContain(message);
      expect(code).toBe(exitCode);
    });

    it.each([
      ['a missing address', []],
      ['an address without a port', ['--address', '127.0.0.1']],
    ])('does not accept %s', async (_, args) => {
      expect((await runExplain('job', DIGITS_JOB, ...args)).code).toBe(2);
    });

    it('does not accept a method that could change the job', async () => {
      const address = await serve(owner);
      const answer = await fetch(`http://${address}/v1/explain/job/${DIGITS_JOB}`, {
        method: 'DELETE',
      });
      expect(answer.status).toBe(405);
      expect(owner.state.jobs.get(DIGITS_JOB)?.phase).toBe('running');
    });
  });
});
