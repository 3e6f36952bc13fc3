import { SOAK_BOUNDS } from '../bounds.ts';
import type { SoakHistory } from '../history.ts';
import type { ProbeRow } from '../rows.ts';
import { PromiseCheck } from './promiseCheck.ts';

const SERVED = 200;
const NO_ROUTE = 404;

/** CONFIG: a version is in force everywhere within its bound, and no process goes back to an older one. */
export class ConfigurationCheck extends PromiseCheck {
  readonly promise = 'CONFIG';

  static create(): ConfigurationCheck {
    return new ConfigurationCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    return [...listLate(history), ...listRegressions(history)];
  }
}

/** Each version has a route of its own, so `200` shows the version and `404` that it is not in force. */
function listLate(history: SoakHistory): string[] {
  const broken: string[] = [];
  const configurations = history.configurations.list();
  for (const { process, version, sentAt, endedAt, status } of history.probes.values()) {
    if (endedAt === undefined || !history.isInTouch(process, sentAt, endedAt)) continue;
    const inForce = configurations.findLast(
      ({ ackedAt }) => ackedAt + SOAK_BOUNDS.configMs < sentAt,
    );
    if (inForce === undefined) continue;
    const isDropped = version < inForce.version && status === SERVED;
    const isMissing =
      version === inForce.version &&
      status === NO_ROUTE &&
      (inForce.replacedAt ?? Infinity) > endedAt;
    if (isDropped || isMissing)
      broken.push(
        `${process} answered ${status} on the route of version ${version} while ${inForce.version} was in force`,
      );
  }
  return broken;
}

function listRegressions(history: SoakHistory): string[] {
  const broken: string[] = [];
  const shown = new Map<string, ProbeRow[]>();
  for (const probe of history.probes.values()) {
    const { incarnation, version, sentAt, endedAt, status } = probe;
    if (endedAt === undefined) continue;
    const earlier = shown.get(incarnation) ?? [];
    const newer = earlier.find(
      (other) =>
        (other.endedAt ?? Infinity) + SOAK_BOUNDS.regressionMs < sentAt &&
        ((status === SERVED && other.version > version) ||
          (status === NO_ROUTE && other.version === version && !isReplaced(history, probe))),
    );
    if (newer !== undefined)
      broken.push(`${incarnation} went back from version ${newer.version} on ${version}`);
    if (status === SERVED) shown.set(incarnation, [...earlier, probe]);
  }
  return broken;
}

function isReplaced(history: SoakHistory, { version, endedAt }: ProbeRow): boolean {
  const row = history.configurations.get(String(version));
  return row === undefined || (row.replacedAt ?? Infinity) <= (endedAt ?? 0);
}
