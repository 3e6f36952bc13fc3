import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { OPERATOR_KEYS, operatorKeySchema } from '../../model/scheduler/queueConfiguration.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { updateJobTerms } from './queueTerms.ts';
import { listStoreReplies, logEvent, sendStoreCall } from './storeCalls.ts';
import { recordUnreadableEntry } from './unreadableEntries.ts';

/**
 * Interval at which the keys are compared with the store. A configuration must be in force within 2
 * s, and a watch can miss changes for 1 s without an error.
 */
const VERIFICATION_INTERVAL_MS = 800;
/** Retry delay after a failed call; a store that answers again is detected within this time. */
const RETRY_DELAY_MS = 200;
/**
 * A slow store answers within 0.4 s. A call on a connection opened during a store outage can hang,
 * and a process that has just started serves no callers until the first list arrives.
 */
const READ_TIMEOUT_MS = 800;
const WATCH_WAIT_MS = 10_000;
/** A watch without an answer after its waiting time is on a dead connection. */
const WATCH_TIMEOUT_MS = 11_000;

/**
 * Keeps the operator's keys (configuration, zones out of service, maintenance waves) current: lists
 * them once, then watches them and compares their versions. Reads store replies; writes `operator`
 * and the queue terms of `jobs`. Runs after the clock system.
 */
export class OperatorKeysSystem extends System<SchedulerState> {
  override readonly name = 'operatorKeys';

  private constructor() {
    super();
  }

  static create(): OperatorKeysSystem {
    return new OperatorKeysSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    this.receiveList(state, tick.now);
    this.receiveWatch(state, tick.now);
    this.receiveVerification(state, tick.now);
    const { operator } = state;
    if (!operator.isListed) {
      if (tick.now >= operator.verifyAt) {
        operator.verifyAt = tick.now + READ_TIMEOUT_MS;
        sendStoreCall(
          state,
          'operatorList',
          { op: 'listPage', prefix: OPERATOR_KEYS.prefix },
          READ_TIMEOUT_MS,
        );
      }
      tick.wakeAt(operator.verifyAt);
      return;
    }
    this.sendWatch(state, tick);
    this.sendVerification(state, tick);
  }

  private receiveList(state: SchedulerState, now: number): void {
    const { operator } = state;
    for (const { reply, sentAt } of listStoreReplies(state, 'operatorList')) {
      if (reply.kind !== 'page') {
        operator.verifyAt = now + RETRY_DELAY_MS;
        continue;
      }
      for (const key of [...operator.versions.keys()]) this.applyKey(state, key, 0, undefined);
      for (const entry of reply.entries)
        this.applyKey(state, entry.key, entry.version, entry.value);
      operator.isListed = operator.configuration !== undefined;
      operator.storeVersion = reply.version;
      operator.verifiedAt = sentAt;
      operator.verifyAt = now + (operator.isListed ? VERIFICATION_INTERVAL_MS : RETRY_DELAY_MS);
      operator.watchAt = now;
    }
  }

  private receiveWatch(state: SchedulerState, now: number): void {
    const { operator } = state;
    for (const { reply } of listStoreReplies(state, 'operatorWatch')) {
      operator.watchAt = now;
      if (reply.kind === 'changes') {
        for (const change of reply.changes)
          this.applyKey(
            state,
            change.key,
            change.value === undefined ? 0 : change.version,
            change.value,
          );
        operator.storeVersion = reply.version;
      } else if (reply.kind === 'historyLost') {
        operator.isListed = false;
        operator.verifyAt = now;
      } else {
        operator.watchAt = now + RETRY_DELAY_MS;
      }
    }
  }

  private receiveVerification(state: SchedulerState, now: number): void {
    const { operator } = state;
    for (const { reply, sentAt } of listStoreReplies(state, 'operatorProof')) {
      if (reply.kind === 'written') {
        operator.verifiedAt = Math.max(operator.verifiedAt, sentAt);
      } else if (reply.kind === 'mismatch') {
        for (const entry of reply.entries)
          this.applyKey(state, entry.key, entry.version, entry.value);
        operator.verifiedAt = Math.max(operator.verifiedAt, sentAt);
      } else {
        operator.verifyAt = Math.min(operator.verifyAt, now + RETRY_DELAY_MS);
      }
    }
  }

  private sendWatch(state: SchedulerState, tick: Tick): void {
    const { operator } = state;
    if (tick.now < operator.watchAt) {
      tick.wakeAt(operator.watchAt);
      return;
    }
    operator.watchAt = tick.now + WATCH_TIMEOUT_MS + RETRY_DELAY_MS;
    sendStoreCall(
      state,
      'operatorWatch',
      {
        op: 'watchPrefix',
        prefix: OPERATOR_KEYS.prefix,
        newerThan: operator.storeVersion,
        waitMs: WATCH_WAIT_MS,
      },
      WATCH_TIMEOUT_MS,
    );
  }

  /** Sends a transaction without writes, which succeeds only if every key has the known version. */
  private sendVerification(state: SchedulerState, tick: Tick): void {
    const { operator } = state;
    if (tick.now < operator.verifyAt) {
      tick.wakeAt(operator.verifyAt);
      return;
    }
    operator.verifyAt = tick.now + VERIFICATION_INTERVAL_MS;
    const keys = [OPERATOR_KEYS.configuration, ...state.zones.map(OPERATOR_KEYS.zoneOut)];
    const expected = keys.map((key) => ({ key, version: operator.versions.get(key) ?? 0 }));
    sendStoreCall(
      state,
      'operatorProof',
      { op: 'transact', expected, puts: [], deletes: [] },
      READ_TIMEOUT_MS,
    );
    tick.wakeAt(operator.verifyAt);
  }

  private applyKey(state: SchedulerState, key: string, version: number, value: unknown): void {
    const { operator } = state;
    if (version !== 0 && version <= (operator.versions.get(key) ?? 0)) return;
    operator.versions.set(key, version);
    const zone = state.zones.find((name) => OPERATOR_KEYS.zoneOut(name) === key);
    if (zone !== undefined) {
      if (version === 0 ? operator.zonesOut.delete(zone) : !operator.zonesOut.has(zone))
        logEvent(state, 'info', 'zone_changed', { zone, out: version !== 0, version });
      if (version !== 0) operator.zonesOut.add(zone);
      return;
    }
    if (key.startsWith(OPERATOR_KEYS.wavePrefix)) {
      this.applyWave(state, key.slice(OPERATOR_KEYS.wavePrefix.length), version, value);
      return;
    }
    if (key === OPERATOR_KEYS.configuration && version !== 0)
      this.applyConfiguration(state, version, value);
  }

  private applyWave(state: SchedulerState, id: string, version: number, value: unknown): void {
    const { waves } = state.operator;
    const key = OPERATOR_KEYS.wave(id);
    if (version === 0) {
      waves.delete(id);
      return;
    }
    const parsed = parseValue(operatorKeySchema, value).toMaybe().extract();
    if (parsed?.kind === 'wave') waves.set(id, parsed.wave);
    else recordUnreadableEntry(state, 'wave_unreadable', { key, version }, { wave: id });
  }

  private applyConfiguration(state: SchedulerState, version: number, value: unknown): void {
    const { operator } = state;
    const parsed = parseValue(operatorKeySchema, value).toMaybe().extract();
    if (parsed?.kind !== 'configuration') {
      const key = OPERATOR_KEYS.configuration;
      recordUnreadableEntry(state, 'configuration_unreadable', { key, version }, {});
      return;
    }
    if (parsed.configuration.version < (operator.configuration?.version ?? 0)) return;
    operator.configuration = parsed.configuration;
    operator.queues = new Map(parsed.configuration.queues.map((queue) => [queue.name, queue]));
    operator.hasAdvice ||= parsed.configuration.queues.some(({ advice }) => advice !== undefined);
    // Configurations change rarely, so a pass over all jobs of the owner is cheap.
    for (const job of state.jobs.list()) updateJobTerms(state, job);
    logEvent(state, 'info', 'configuration_in_force', {
      version: parsed.configuration.version,
      queues: parsed.configuration.queues.length,
      unreadable: parsed.configuration.unreadableItems,
    });
  }
}
