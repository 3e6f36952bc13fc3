import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { LocalCluster } from '../../src/cli/localCluster.ts';
import { buildBundle } from '../support/builtBundle.ts';
import { loadHanbitTables } from '../support/hanbitLinks.ts';

interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

describe('command line', () => {
  let program = '';
  let folder = '';

  async function runCommand(args: string[], env: NodeJS.ProcessEnv = {}): Promise<CommandResult> {
    return new Promise((resolve) => {
      const options = { env: { ...process.env, ...env } };
      execFile(process.execPath, [program, ...args], options, (error, stdout, stderr) => {
        resolve({ code: error === null ? 0 : Number(error.code), stdout, stderr });
      });
    });
  }

  function writeTables(value: unknown): string {
    const path = join(folder, 'tables.json');
    writeFileSync(path, JSON.stringify(value));
    return path;
  }

  beforeAll(() => {
    program = join(buildBundle('cli'), 'bramleyladder.js');
    folder = mkdtempSync(join(tmpdir(), 'bramleyladder-'));
  });

  afterAll(() => {
    rmSync(folder, { recursive: true, force: true });
  });

  describe('arguments', () => {
    for (const args of [
      ['unknown'],
      [],
      ['zone', 'out'],
      ['zone', 'away', 'busan-a'],
      ['config', 'print'],
      ['config', 'apply'],
      ['entry'],
      ['status', '--unknown'],
      ['entry', '--settings', 'missing.json'],
    ]) {
      it(`${args.join(' ') || 'none'}: exits with code 2 and an error for invalid usage`, async () => {
        const { code, stderr } = await runCommand(args);
        expect(code).toBe(2);
        expect(stderr.trim().length).toBeGreaterThan(0);
      });
    }

    for (const name of [
      'entry',
      'agent',
      'store',
      'endpoint',
      'worker',
      'local',
      'config',
      'zone',
      'status',
      'explain',
      'job',
    ]) {
      it(`prints a help text for ${name}`, async () => {
        const { code, stdout } = await runCommand([name, '--help']);
        expect(code).toBe(0);
        expect(stdout).toContain('Usage');
      });
    }
  });

  describe('config check', () => {
    it('reports every error of a tables file, not only the first', async () => {
      const tables = loadHanbitTables();
      const path = writeTables({
        routes: [
          { ...tables.routes[0], pool: 'absent' },
          { ...tables.routes[1], deadlineMs: 1, service: 'other' },
          tables.routes[0],
        ],
        pools: [
          ...tables.pools,
          {
            ...tables.pools[1],
            name: 'twice',
            services: [{ name: 'job', replicas: 2 }],
            quotas: [...tables.pools[1]!.quotas, tables.pools[1]!.quotas[0]],
          },
        ],
      });
      const { code, stderr } = await runCommand(['config', 'check', path]);
      expect(code).toBe(2);
      for (const fault of [
        'routes[0].pool:',
        'routes[1].deadlineMs:',
        'routes[2].name:',
        'routes[2].pathPrefix:',
        'pools[2].services[0].demand:',
        'pools[2].quotas[2].team:',
      ])
        expect(stderr).toContain(fault);
    });
  });

  describe('local', () => {
    it('does not lose or duplicate a job or a request during a zone change', async () => {
      const { code, stdout, stderr } = await runCommand(['local', '--json']);
      expect(`${code} ${stderr}`).toBe('0 ');
      expect(JSON.parse(stdout)).toMatchObject({
        requests: 500,
        answered: 500,
        refused: {},
        jobs: { submitted: 16, submissions: 17, finished: 15, cancelled: 1, open: 0 },
      });
    });
  });

  describe('operators', () => {
    let cluster: LocalCluster | undefined;

    afterEach(() => {
      cluster?.dispose();
    });

    it('does not overwrite a revision that is newer than the base revision of the tables', async () => {
      cluster = await LocalCluster.create(loadHanbitTables());
      await cluster.waitReady();
      const env = {
        BRAMLEYLADDER_OPERATOR: `http://127.0.0.1:${cluster.entries[0]!.operatorPort}`,
      };
      const shown = await runCommand(['config', 'show'], env);
      const path = writeTables(JSON.parse(shown.stdout));
      expect((await runCommand(['zone', 'out', 'busan-a', '--json'], env)).stdout).toContain(
        '"revision": 2',
      );
      const refused = await runCommand(['config', 'apply', path], env);
      expect(refused).toMatchObject({ code: 1 });
      expect(refused.stderr).toContain('config_conflict');
      expect(refused.stderr).toMatch(/revision 1.*revision 2/);
      const diff = await runCommand(['config', 'diff', path, '--json'], env);
      expect(JSON.parse(diff.stdout)).toEqual({ revision: 2, differences: [] });
      const explained = await runCommand(['explain', 'busan-a'], env);
      expect(explained.stdout).toContain('zone out: revision 2 is in the store');
      expect(await runCommand(['explain', 'nothing-here'], env)).toMatchObject({ code: 1 });
      const status = await runCommand(['status', '--json'], env);
      expect(JSON.parse(status.stdout)).toMatchObject({ revision: 2, zonesOut: ['busan-a'] });
    });

    it('does not omit refusals, durations or table sizes from the metrics page', async () => {
      cluster = await LocalCluster.create(loadHanbitTables());
      await cluster.waitReady();
      const entry = cluster.entries[0]!;
      await fetch(`http://127.0.0.1:${entry.callerPort}/kits/1`);
      await fetch(`http://127.0.0.1:${entry.callerPort}/absent`);
      const operator = `http://127.0.0.1:${entry.operatorPort}`;
      const text = await (await fetch(`${operator}/metrics`)).text();
      for (const line of [
        'bramleyladder_refusals_total{reason="no_route"} 1',
        'bramleyladder_request_duration_ms_count{route="kit-read",outcome="answered"} 1',
        'bramleyladder_request_duration_ms_count{route="none",outcome="no_route"} 1',
        'bramleyladder_table_rows{table="endpoints"} 4',
        'bramleyladder_loop_turn_duration_ms{quantile="0.99"}',
        'bramleyladder_store_call_duration_ms_count{op="read"',
      ])
        expect(text).toContain(line);
      expect((await fetch(`${operator}/health`)).status).toBe(200);
      entry.stop();
      await new Promise((resolve) => setTimeout(resolve, 50));
      expect((await fetch(`${operator}/health`)).status).toBe(503);
    });
  });
});
