import { setTimeout as delay } from 'node:timers/promises';
import * as z from 'zod/mini';
import { describe, expect, it } from 'vitest';
import { JsonLink } from '../../../src/protocol/node/jsonLinks.ts';
import { INVALID_ADDRESSES } from '../../support/invalidValues.ts';

const CLOSE_TIMEOUT_MS = 2_000;

describe('link to another process', () => {
  describe('at an invalid address', () => {
    it.each(INVALID_ADDRESSES)('%j does not throw, and is closed once', async (address) => {
      let closes = 0;
      let isStored = false;
      let wasStoredAtClose = false;
      const link = JsonLink.open(address, 'peer', z.string(), {
        onOpen: () => undefined,
        onMessage: () => undefined,
        onInvalid: () => undefined,
        onClose: () => {
          closes += 1;
          wasStoredAtClose = isStored;
        },
      });
      isStored = true;
      const deadline = performance.now() + CLOSE_TIMEOUT_MS;
      while (closes === 0 && performance.now() < deadline) await delay(5);
      link.send('ignored');
      link.drop();
      link.dispose();
      await delay(5);
      expect(closes).toBe(1);
      expect(wasStoredAtClose).toBe(true);
    });
  });
});
