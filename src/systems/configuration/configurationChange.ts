import type { Either } from 'purify-ts/Either';
import { Left, Right } from 'purify-ts/Either';
import type { ValueFault } from '../../base/common/parse.ts';
import type { Configuration } from '../../model/configuration.ts';
import type { ConfigChange } from '../../model/configWrite.ts';
import { listZones } from '../../model/tableChecks.ts';

/** Reason why a change is not written. */
export type ChangeRefusal =
  | { readonly kind: 'conflict'; readonly baseRevision: number }
  | { readonly kind: 'invalid'; readonly faults: readonly ValueFault[] }
  | { readonly kind: 'unchanged' };

/**
 * Builds the configuration that results from applying a change to `stored`. Tables must have been
 * edited from its revision; a zone change applies to any revision, so it never conflicts.
 */
export function buildChange(
  change: ConfigChange,
  stored: Configuration,
  token: string,
): Either<ChangeRefusal, Configuration> {
  const revision = stored.revision + 1;
  if (change.kind === 'applyConfig') {
    if (change.baseRevision !== stored.revision)
      return Left({ kind: 'conflict', baseRevision: change.baseRevision });
    return Right({ ...stored, ...change.tables, revision, token });
  }
  const { zone, out } = change;
  if (stored.zonesOut.includes(zone) === out && (out || listZones(stored).includes(zone)))
    return Left({ kind: 'unchanged' });
  if (!listZones(stored).includes(zone) && !stored.zonesOut.includes(zone)) {
    const message = `no pool uses zone ${zone}; known zones: ${listZones(stored).join(', ')}`;
    return Left({ kind: 'invalid', faults: [{ path: 'zone', message }] });
  }
  const others = stored.zonesOut.filter((name) => name !== zone);
  return Right({ ...stored, zonesOut: out ? [...others, zone] : others, revision, token });
}

/** Formats a change as one line for logs and `explain`. */
export function formatChange(change: ConfigChange): string {
  if (change.kind === 'setZone') return `zone ${change.out ? 'out' : 'in'}`;
  return `apply ${change.tables.routes.length} routes and ${change.tables.pools.length} pools`;
}
