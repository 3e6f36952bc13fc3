import { describe, expect, it } from 'vitest';
import type { ValueFault } from '../../src/base/common/parse.ts';
import { checkTables } from '../../src/model/tableChecks.ts';

function listFaults(value: unknown): ValueFault[] {
  return checkTables(value).swap().orDefault([]);
}

const POOL = {
  name: 'p',
  region: 'r',
  zones: ['z'],
  workClass: 'latency-critical',
  services: [{ name: 's' }],
};
const ROUTE = { name: 'a', pathPrefix: '/a', service: 's', pool: 'p', idempotent: true };

describe('checkTables', () => {
  describe('a file with several faults', () => {
    it('does not omit an unknown pool or a duplicate name when the row has another fault', () => {
      const broken = { ...ROUTE, idempotent: 'yes', pool: 'nope' };
      const faults = listFaults({ routes: [broken, ROUTE], pools: [POOL] });
      expect(faults.map(({ path }) => path).sort()).toEqual([
        'routes[0].idempotent',
        'routes[0].pool',
        'routes[1].name',
      ]);
    });

    it('does not report only the row for an unknown field', () => {
      const routes = [{ ...ROUTE, colour: 1, size: 2 }];
      expect(listFaults({ routes, pools: [POOL] })).toEqual([
        { path: 'routes[0].colour', message: 'unknown field' },
        { path: 'routes[0].size', message: 'unknown field' },
      ]);
    });

    it('does not report a type without saying what is expected', () => {
      const [fault] = listFaults({ routes: [{ ...ROUTE, idempotent: 'yes' }], pools: [POOL] });
      expect(fault?.message).toContain('expected boolean');
    });
  });

  describe('references between the tables', () => {
    it('does not accept a service that the pool does not run', () => {
      const routes = [{ ...ROUTE, service: 'other' }];
      expect(listFaults({ routes, pools: [POOL] }).map(({ path }) => path)).toEqual([
        'routes[0].service',
      ]);
    });

    it('does not refuse tables without a fault', () => {
      expect(checkTables({ routes: [ROUTE], pools: [POOL] }).isRight()).toBe(true);
    });
  });
});
