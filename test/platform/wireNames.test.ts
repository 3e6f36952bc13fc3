import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';

/** Names of the platform's wire for which the rest of the source has names of its own. */
const WIRE_NAME_PATTERN =
  /kv-(?:key|range|watch|txn|lease|keep)|run-(?:start|stop)|op\/(?:config|evacuate|wave)|status\/wave|machine-(?:move|upkeep)|duty-holder|fence-token|within_s|page_token|last_seen|est_runtime_ms|mem_mb|saves_progress|max_per_server|drain_left_ms|kill_grace_ms|cold_left_ms|BRAMLEYLADDER_BOOT|heartbeat_ms/i;

function listSources(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((item) => {
    const path = join(folder, item.name);
    return item.isDirectory() ? listSources(path) : [path];
  });
}

function countLines(paths: readonly string[]): number {
  return paths.reduce((sum, path) => sum + readFileSync(path, 'utf8').split('\n').length, 0);
}

describe('adapter of the platform', () => {
  const sources = listSources('src');
  const adapter = sources.filter((path) => path.startsWith(join('src', 'platform')));

  it('does not leak names of the wire into the rest of the source', () => {
    const found = sources.filter(
      (path) => !adapter.includes(path) && WIRE_NAME_PATTERN.test(readFileSync(path, 'utf8')),
    );
    expect(found).toEqual([]);
  });

  it('does not grow beyond a tenth of the source lines', () => {
    expect(countLines(adapter)).toBeGreaterThan(300);
    expect(countLines(adapter)).toBeLessThan(countLines(sources) / 10);
  });
});
