import { execFileSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

const TSC = resolve('node_modules/typescript/bin/tsc');

const CONSUMER = `
import type { StoreCall, StoreReply, Tables } from 'bramleyladder';
import { checkTables, ERROR_ANSWERS, EntryDaemon, LogWriter, RoutingPolicy, StoreClient } from 'bramleyladder';

class SilentStore extends StoreClient {
  override send(_call: StoreCall, _timeoutMs: number): Promise<StoreReply> {
    return Promise.resolve({ kind: 'unavailable', message: 'down' });
  }
  override dispose(): void {}
}

const tables: Tables = { routes: [], pools: [] };
const status: number = ERROR_ANSWERS.queue_full.status;
const reply = await new SilentStore().send({ op: 'read', key: 'config/current' }, 10);
const log = LogWriter.create(true);
const settings = {
  id: 'entry-0', region: 'r', zone: 'z', host: '127.0.0.1', callerPort: 0, operatorPort: 0,
  linkPort: 0, storeOrigin: 'http://127.0.0.1:9', peers: [], stopSeconds: 1,
};
const entry = await EntryDaemon.create(settings, log);
const isOpen: boolean = entry.operatorPort > 0;
entry.dispose();
console.log(JSON.stringify({
  status, reply: reply.kind, isOpen, isValid: checkTables(tables).isRight(), policy: typeof RoutingPolicy,
}));
`;

describe('built library', () => {
  let folder = '';

  function writeConsumer(name: string, text: string): string {
    const path = join(folder, name);
    writeFileSync(path, text);
    return path;
  }

  /** Type-checks a consumer against the built declarations. Returns the compiler output. */
  function checkTypes(path: string): string {
    const flags = ['--noEmit', '--strict', '--module', 'nodenext', '--target', 'es2022'];
    const args = [TSC, '--ignoreConfig', ...flags, '--skipLibCheck', '--types', 'node', path];
    try {
      return execFileSync(process.execPath, args, { encoding: 'utf8' });
    } catch (error) {
      return (error as { stdout: string }).stdout;
    }
  }

  beforeAll(() => {
    // Inside the checkout, so that imports of the dependencies and of the package itself resolve.
    folder = mkdtempSync(resolve('node_modules/.cache/library-'));
    const outDir = join(folder, 'node_modules/bramleyladder/dist');
    execFileSync(process.execPath, [TSC, '-p', 'tsconfig.build.json', '--outDir', outDir]);
    const { main, types, exports } = JSON.parse(readFileSync('package.json', 'utf8')) as Record<
      string,
      unknown
    >;
    writeFileSync(
      join(folder, 'node_modules/bramleyladder/package.json'),
      JSON.stringify({ name: 'bramleyladder', type: 'module', main, types, exports }),
    );
    writeConsumer('package.json', JSON.stringify({ type: 'module' }));
  });

  afterAll(() => {
    rmSync(folder, { recursive: true, force: true });
  });

  describe('package', () => {
    it('does not omit a file that package.json refers to', () => {
      for (const name of ['lib/index.js', 'lib/index.d.ts'])
        expect(existsSync(join(folder, 'node_modules/bramleyladder/dist', name))).toBe(true);
    });
  });

  describe('types', () => {
    it('does not lose the types of the public API', () => {
      expect(checkTypes(writeConsumer('consumer.ts', CONSUMER))).toBe('');
    });

    it('does not widen public types to any, which would accept a wrong value', () => {
      const text =
        "import type { Tables } from 'bramleyladder';\nexport const tables: Tables = { routes: 1, pools: [] };\n";
      expect(checkTypes(writeConsumer('wrong.ts', text))).toContain('TS2322');
    });
  });

  describe('module', () => {
    it('does not fail to load or to start an entry in Node.js without a bundler', () => {
      const path = writeConsumer('run.ts', CONSUMER);
      execFileSync(process.execPath, [
        ...[TSC, '--ignoreConfig', '--strict', '--module', 'nodenext', '--target', 'es2022'],
        ...['--skipLibCheck', '--types', 'node', path],
      ]);
      const output = execFileSync(process.execPath, [join(folder, 'run.js')], { encoding: 'utf8' });
      expect(JSON.parse(output)).toEqual({
        status: 429,
        reply: 'unavailable',
        isOpen: true,
        isValid: true,
        policy: 'function',
      });
    });
  });
});
