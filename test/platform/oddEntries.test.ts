import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { INVALID_ADDRESSES, buildNestedJson } from '../support/invalidValues.ts';
import {
  buildPrograms,
  createEntrySettings,
  findPorts,
  PlatformProgram,
  waitForProgram as waitFor,
} from '../support/platformProgram.ts';
import { PlatformStoreStandIn } from '../support/platformStandIn.ts';

/** An owner opens the links of all agents within this time, and again after their backoff. */
const SETTLE_MS = 1_500;

async function readMetric(port: number, name: string): Promise<number> {
  const response = await fetch(`http://127.0.0.1:${port}/metrics`).catch(() => undefined);
  const text = (await response?.text()) ?? '';
  return Number(new RegExp(`^bramleyladder_${name} (.*)$`, 'm').exec(text)?.[1]);
}

describe('entries of another writer among the agents', () => {
  let store: PlatformStoreStandIn;
  let programs: PlatformProgram[];

  beforeAll(() => {
    buildPrograms();
  });

  beforeEach(async () => {
    store = await PlatformStoreStandIn.create();
    store.write('op/config', { version: 1, routes: [], services: [], limits: {} });
    programs = [];
  });

  afterEach(() => {
    for (const program of programs) program.dispose();
    store.dispose();
  });

  function writeOddEntries(): number {
    for (const [index, address] of INVALID_ADDRESSES.entries())
      store.write(`in/a/odd-${index}`, { address, zone: 'a' });
    store.writeBytes('in/a/nested', buildNestedJson(100_000));
    store.writeBytes(
      'in/a/number',
      '{"address":"127.0.0.1:7","zone":"a","goneWorker":{"id":"i","bornMs":1e999}}',
    );
    store.writeBytes('in/a/text', '\u00ff\u0000{');
    store.write('in/a/a|b', { address: '127.0.0.1:7', zone: 'a' });
    return INVALID_ADDRESSES.length + 4;
  }

  /** Starts an entry and returns its ports once it owns the scheduling. */
  async function startOwner(): Promise<{ program: PlatformProgram; port: number }> {
    const ports = await findPorts(2);
    const program = PlatformProgram.create('entry', createEntrySettings(store.address, ports));
    programs.push(program);
    const port = ports[1]!;
    await waitFor(
      async () => program.exitCode !== undefined || (await readMetric(port, 'is_owner')) === 1,
    );
    return { program, port };
  }

  describe('at the start of an owner', () => {
    it('do not end the owner or its successor, and are logged once a version', async () => {
      const count = writeOddEntries();
      for (let owners = 0; owners < 2; owners += 1) {
        const { program, port } = await startOwner();
        await delay(SETTLE_MS);
        expect(program.exitCode).toBeUndefined();
        expect(program.countLines('agent_unreadable')).toBe(count);
        expect(
          await readMetric(
            port,
            'unreadable_entries_total{event="agent_unreadable"}'.replace(/[{}]/g, '\\$&'),
          ),
        ).toBe(count);
        program.dispose();
        store.expireLease(owners + 1);
      }
    });
  });

  describe('in a watch', () => {
    it('do not end an owner that reads them from a watch, or keep it from other entries', async () => {
      const { program, port } = await startOwner();
      const count = writeOddEntries();
      store.write('in/a/valid', { address: '127.0.0.1:9', zone: 'a' });
      await waitFor(
        () => program.countLines('agent_unreadable') === count || program.exitCode !== undefined,
      );
      await delay(SETTLE_MS);
      expect(program.exitCode).toBeUndefined();
      expect(program.output).toContain('agent=valid');
      expect(await readMetric(port, 'is_owner')).toBe(1);
    });
  });

  describe('in place of the owner record', () => {
    it('do not end an entry that reads an odd owner record', async () => {
      store.write('owner/current', {
        entryId: 'e',
        bootId: 'b',
        address: '127.0.0.1:99999',
        epoch: 1,
      });
      store.writeBytes('owner-epoch', '1e15');
      const { program, port } = await startOwner();
      await delay(SETTLE_MS);
      expect(program.exitCode).toBeUndefined();
      expect(program.countLines('owner_unreadable')).toBe(1);
      expect(program.countLines('epoch_unreadable')).toBe(1);
      expect(await readMetric(port, 'is_owner')).toBe(1);
    });
  });
});
