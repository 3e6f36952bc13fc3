import * as z from 'zod/mini';
import { parseValue } from '../base/common/parse.ts';
import { STORE_KEYS } from '../model/scheduler/jobRecord.ts';
import { OPERATOR_KEYS } from '../model/scheduler/queueConfiguration.ts';
import type { StoreCall, StoreEntry, StoreReply } from '../model/store.ts';
import { StoreClient } from '../protocol/node/storeClient.ts';
import { decodeConfiguration, decodeWave } from './wireConfiguration.ts';
import type { WireOutcome } from './wireHttp.ts';
import { WireHttp } from './wireHttp.ts';

const ROOT = '/bramleyladder';
const CONFIGURATION_KEY = 'op/config';
const ZONE_OUT_PREFIX = 'op/evacuate/';
const WAVE_PREFIX = 'op/wave/';
const WAVE_STATUS_PREFIX = 'status/wave/';
const OPERATOR_PREFIX = 'op/';

const itemSchema = z.object({
  key: z.string(),
  /** Revision of the item's last change; 0 or absent for a missing key. */
  rev: z._default(z.int(), 0),
  /** Bytes of the value in base64. */
  value: z.optional(z.nullable(z.string())),
  deleted: z.optional(z.boolean()),
});
type WireItem = z.infer<typeof itemSchema>;

const txnSchema = z.object({ rev: z.int() });
const itemsSchema = z.object({
  items: z.array(itemSchema),
  current_rev: z._default(z.int(), 0),
  has_more: z._default(z.boolean(), false),
});
const eventsSchema = z.object({ events: z.array(itemSchema), current_rev: z.int() });
const leaseSchema = z.object({ lease: z.int() });

/** Implements the system's store interface over the platform's metadata store. */
export class PlatformStoreClient extends StoreClient {
  private readonly http = WireHttp.create();

  private constructor(private readonly address: string) {
    super();
  }

  static create(address: string): PlatformStoreClient {
    return new PlatformStoreClient(address);
  }

  override async send(call: StoreCall, timeoutMs: number): Promise<StoreReply> {
    const request = buildRequest(call);
    const outcome = await this.http.send({ ...request, address: this.address, timeoutMs });
    return decodeReply(call, outcome);
  }

  override dispose(): void {
    this.http.dispose();
  }
}

interface WireRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
}

function buildRequest(call: StoreCall): WireRequest {
  switch (call.op) {
    case 'read':
      return {
        method: 'GET',
        path: `${ROOT}/kv-key?key=${encodeParameter(call.key)}`,
      };
    case 'list':
    case 'listPage': {
      const after =
        call.op === 'listPage' && call.after !== undefined
          ? `&after=${encodeParameter(call.after)}`
          : '';
      const prefix = encodeParameter(call.prefix);
      return { method: 'GET', path: `${ROOT}/kv-range?prefix=${prefix}${after}` };
    }
    case 'watch':
    case 'watchPrefix': {
      const prefix = encodeParameter(call.op === 'watch' ? call.key : call.prefix);
      const query = `prefix=${prefix}&after=${call.newerThan}&wait_ms=${call.waitMs}`;
      return { method: 'GET', path: `${ROOT}/kv-watch?${query}` };
    }
    case 'write':
      return buildTransaction(
        [{ key: call.key, version: call.expectedVersion }],
        [{ key: call.key, value: call.value, leaseId: call.leaseId }],
        [],
      );
    case 'delete':
      return buildTransaction([{ key: call.key, version: call.expectedVersion }], [], [call.key]);
    case 'transact':
      return buildTransaction(call.expected, call.puts, call.deletes);
    case 'grantLease':
      return { method: 'POST', path: `${ROOT}/kv-lease`, body: { ttl_ms: call.ttlMs } };
    case 'renewLease':
      return { method: 'POST', path: `${ROOT}/kv-keep/${call.leaseId}` };
    case 'revokeLease':
      return { method: 'DELETE', path: `${ROOT}/kv-lease-end/${call.leaseId}` };
  }
}

/** Encodes a key for a query. Keys of other writers may hold lone surrogates, which have no encoding. */
function encodeParameter(key: string): string {
  return encodeURIComponent(encodeKey(key).replace(/\p{Surrogate}/gu, '\ufffd'));
}

function buildTransaction(
  expected: readonly { readonly key: string; readonly version: number }[],
  puts: readonly {
    readonly key: string;
    readonly value?: unknown;
    readonly leaseId?: string | undefined;
  }[],
  deletes: readonly string[],
): WireRequest {
  return {
    method: 'POST',
    path: `${ROOT}/kv-txn`,
    body: {
      expected: expected.map(({ key, version }) => ({ key: encodeKey(key), rev: version })),
      puts: puts.map(({ key, value, leaseId }) => ({
        key: encodeKey(key),
        value: Buffer.from(JSON.stringify(value), 'utf8').toString('base64'),
        lease: Number(leaseId ?? 0),
      })),
      deletes: deletes.map(encodeKey),
    },
  };
}

function decodeReply(call: StoreCall, outcome: WireOutcome): StoreReply {
  if (outcome.kind === 'notSent') return { kind: 'refused', message: outcome.message };
  if (outcome.kind === 'noAnswer') return { kind: 'unavailable', message: outcome.message };
  const { status, body } = outcome;
  if (status === 503 || status === 429)
    return { kind: 'refused', message: `the store answered ${status}` };
  const reply = decodeResponse(call, status, body);
  return reply ?? { kind: 'unavailable', message: `unexpected answer ${status} to ${call.op}` };
}

function decodeResponse(call: StoreCall, status: number, body: unknown): StoreReply | undefined {
  switch (call.op) {
    case 'read': {
      if (status === 404)
        return { kind: 'entry', entry: { key: call.key, version: 0, value: undefined } };
      const item = parse(itemSchema, body);
      return item === undefined ? undefined : { kind: 'entry', entry: toEntry(item) };
    }
    case 'list':
    case 'listPage': {
      const page = parse(itemsSchema, body);
      if (page === undefined || status !== 200) return undefined;
      const entries = page.items.map(toEntry);
      if (call.op === 'list') return { kind: 'entries', entries };
      return { kind: 'page', entries, version: page.current_rev, hasMore: page.has_more };
    }
    case 'watch':
    case 'watchPrefix':
      return decodeWatch(status, body);
    case 'grantLease': {
      const lease = parse(leaseSchema, body);
      return lease === undefined ? undefined : { kind: 'lease', leaseId: String(lease.lease) };
    }
    case 'renewLease':
      if (status === 404) return { kind: 'leaseLost' };
      return status === 200 ? { kind: 'lease', leaseId: call.leaseId } : undefined;
    case 'revokeLease':
      return { kind: 'done' };
    case 'write':
    case 'delete':
    case 'transact':
      return decodeTransaction(call, status, body);
  }
}

function decodeWatch(status: number, body: unknown): StoreReply | undefined {
  if (status === 410) return { kind: 'historyLost' };
  const page = parse(eventsSchema, body);
  if (page === undefined || status !== 200) return undefined;
  return {
    kind: 'changes',
    version: page.current_rev,
    changes: page.events.map((event) => {
      const entry = toEntry(event);
      return event.deleted === true
        ? { key: entry.key, version: entry.version }
        : { key: entry.key, version: entry.version, value: entry.value };
    }),
  };
}

function decodeTransaction(
  call: Extract<StoreCall, { op: 'write' | 'delete' | 'transact' }>,
  status: number,
  body: unknown,
): StoreReply | undefined {
  if (status === 404) return { kind: 'leaseLost' };
  if (status === 412) {
    const found = new Map(
      (parse(itemsSchema, body)?.items ?? []).map((item) => [decodeKey(item.key), toEntry(item)]),
    );
    if (call.op !== 'transact')
      return { kind: 'conflict', version: found.get(call.key)?.version ?? 0 };
    const entries = call.expected.map(
      ({ key }): StoreEntry => found.get(key) ?? { key, version: 0, value: undefined },
    );
    return { kind: 'mismatch', entries };
  }
  const written = parse(txnSchema, body);
  if (written === undefined || status !== 200) return undefined;
  return call.op === 'delete' ? { kind: 'done' } : { kind: 'written', version: written.rev };
}

function parse<Schema extends z.ZodMiniType>(
  schema: Schema,
  body: unknown,
): z.output<Schema> | undefined {
  return parseValue(schema, body).toMaybe().extract();
}

/** Internal and wire prefixes of maintenance waves and of their status for the operator. */
const WAVE_PREFIXES = [
  [OPERATOR_KEYS.wavePrefix, WAVE_PREFIX],
  [STORE_KEYS.waveStatusPrefix, WAVE_STATUS_PREFIX],
] as const;

/** Translates the operator's keys to the wire; all other keys have the same name on both sides. */
function encodeKey(key: string): string {
  if (key === OPERATOR_KEYS.configuration) return CONFIGURATION_KEY;
  const zoneOutPrefix = OPERATOR_KEYS.zoneOut('');
  if (key.startsWith(zoneOutPrefix)) return ZONE_OUT_PREFIX + key.slice(zoneOutPrefix.length);
  for (const [prefix, wirePrefix] of WAVE_PREFIXES)
    if (key.startsWith(prefix)) return wirePrefix + key.slice(prefix.length);
  return key === OPERATOR_KEYS.prefix ? OPERATOR_PREFIX : key;
}

function decodeKey(key: string): string {
  if (key === CONFIGURATION_KEY) return OPERATOR_KEYS.configuration;
  if (key.startsWith(ZONE_OUT_PREFIX))
    return OPERATOR_KEYS.zoneOut(key.slice(ZONE_OUT_PREFIX.length));
  for (const [prefix, wirePrefix] of WAVE_PREFIXES)
    if (key.startsWith(wirePrefix)) return prefix + key.slice(wirePrefix.length);
  return key;
}

function toEntry(item: WireItem): StoreEntry {
  const key = decodeKey(item.key);
  if (item.value === undefined || item.value === null)
    return { key, version: item.rev, value: undefined };
  if (item.key.startsWith(ZONE_OUT_PREFIX))
    return {
      key,
      version: item.rev,
      value: { kind: 'zoneOut', zone: item.key.slice(ZONE_OUT_PREFIX.length) },
    };
  return { key, version: item.rev, value: decodeValue(item) };
}

/** Returns bytes that are not JSON as text, which every schema rejects. */
function decodeValue(item: WireItem): unknown {
  const text = Buffer.from(item.value ?? '', 'base64').toString('utf8');
  try {
    const value = JSON.parse(text) as unknown;
    if (item.key === CONFIGURATION_KEY) return decodeConfiguration(value);
    return item.key.startsWith(WAVE_PREFIX) ? decodeWave(value) : value;
  } catch {
    return text;
  }
}
