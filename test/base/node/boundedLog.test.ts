import { Writable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { BoundedLog } from '../../../src/base/node/boundedLog.ts';

class BlockedOutput extends Writable {
  readonly lines: string[] = [];

  constructor(private readonly isBlocked: boolean) {
    super({ decodeStrings: false });
  }

  override _write(chunk: string, _encoding: string, done: () => void): void {
    this.lines.push(chunk);
    if (!this.isBlocked) done();
  }
}

describe('bounded log', () => {
  describe('under a burst', () => {
    it('does not drop other events when one event exceeds its limit', () => {
      const output = new BlockedOutput(false);
      const log = BoundedLog.createFor(output);
      for (let line = 0; line < 1_000; line += 1) log.write('info', 'burst', { line });
      log.write('info', 'other', {});
      expect(output.lines.filter((line) => line.includes('event=burst'))).toHaveLength(40);
      expect(output.lines.at(-1)).toContain('event=other');
    });

    it('does not count info lines of an event against the limit of its warnings', () => {
      const output = new BlockedOutput(false);
      const log = BoundedLog.createFor(output);
      for (let line = 0; line < 1_000; line += 1)
        log.write(line % 10 === 0 ? 'warn' : 'info', 'burst', { line });
      expect(output.lines.filter((line) => line.includes('level=warn'))).toHaveLength(100);
    });

    it('does not write an unlimited number of warnings', () => {
      const output = new BlockedOutput(false);
      const log = BoundedLog.createFor(output);
      for (let line = 0; line < 1_000; line += 1) log.write('warn', 'burst', { line });
      expect(output.lines).toHaveLength(200);
    });

    it('does not omit the number of dropped lines from the next line of the event', async () => {
      const output = new BlockedOutput(false);
      const log = BoundedLog.createFor(output);
      for (let line = 0; line < 50; line += 1) log.write('info', 'burst', { line });
      await new Promise((resolve) => setTimeout(resolve, 1_050));
      log.write('info', 'burst', { line: 50 });
      expect(output.lines.at(-1)).toContain('leftOut=10');
    });
  });

  describe('when nothing reads the output', () => {
    it('does not block or buffer an unlimited number of bytes', () => {
      const output = new BlockedOutput(true);
      const log = BoundedLog.createFor(output);
      for (let event = 0; event < 20_000; event += 1)
        log.write('info', `event_${event}`, { text: 'x'.repeat(100) });
      expect(output.writableLength).toBeLessThan(300 * 1024);
    });
  });
});
