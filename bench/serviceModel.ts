import type { ErrorKind } from '../src/base/common/errors.ts';
import { ERROR_ANSWERS } from '../src/base/common/errors.ts';
import type { SeededRandom } from '../src/base/common/seededRandom.ts';

export const ZONES = ['busan-a', 'ulsan-b', 'daegu-c', 'changwon-d'] as const;
export const ENDPOINTS = 10;
export const SLOTS = 8;
/** Assumed mean service time; the users have given none. */
export const SERVICE_MS = 100;
/** Requests a second that all slots carry together. */
export const CAPACITY_RPS = (ENDPOINTS * SLOTS * 1_000) / SERVICE_MS;
const SERVICE_SIGMA = 0.5;
export const CALLER_DELAY_MS = 1;
const ZONE_DELAY_MS = 4;
const LOCAL_DELAY_MS = 0.2;
const JITTER = 0.25;
/** A lost packet costs the sender a retransmission timeout. */
const RETRANSMIT_MS = 200;

export type EndpointFault = 'none' | 'slow' | 'failing' | 'silent' | 'refusing';

/** The outcome of one request as its caller saw it. */
export interface CallerOutcome {
  readonly route: string;
  readonly sentMs: number;
  doneMs: number;
  /** `answered`, `failed` for an answer with a 5xx status, or the error kind. */
  result: 'open' | 'answered' | 'failed' | ErrorKind;
  /** Times that an endpoint was given the request. */
  runs: number;
}

/** Log-normal service time in milliseconds. */
export function takeServiceMs(random: SeededRandom, fault: EndpointFault | undefined): number {
  if (fault === 'silent') return Number.POSITIVE_INFINITY;
  if (fault === 'failing' || fault === 'refusing') return 2;
  const angle = 2 * Math.PI * random.takeUnit();
  const normal = Math.sqrt(-2 * Math.log(1 - random.takeUnit())) * Math.cos(angle);
  const mean = fault === 'slow' ? 10 * SERVICE_MS : SERVICE_MS;
  return mean * Math.exp(SERVICE_SIGMA * normal - SERVICE_SIGMA ** 2 / 2);
}

/** One-way time of a message in milliseconds. */
export function takeLinkMs(random: SeededRandom, isLocal: boolean, lossShare: number): number {
  const base = isLocal ? LOCAL_DELAY_MS : ZONE_DELAY_MS;
  const isLost = !isLocal && random.takeUnit() < lossShare;
  return base + random.takeExponential(base * JITTER) + (isLost ? RETRANSMIT_MS : 0);
}

/** Requests that were refused as "not run" although an endpoint had them. */
export function countWrongRefusals(outcomes: Iterable<CallerOutcome>): number {
  let wrong = 0;
  for (const { result, runs } of outcomes) {
    if (result === 'open' || result === 'answered' || result === 'failed') continue;
    if (runs > 0 && ERROR_ANSWERS[result].ran === 'no') wrong += 1;
  }
  return wrong;
}
