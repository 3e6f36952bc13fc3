import type { EntryState } from '../../model/entryState.ts';
import { recordDecision } from '../decisions.ts';
import { findWorkerShard } from './shards.ts';

/**
 * Discards the ownership of a shard with its ledger, workers and runs in memory. After that, this entry
 * neither answers calls nor sends commands for the shard.
 */
export function discardShardOwnership(
  state: EntryState,
  shard: string,
  nowMs: number,
  reason: string,
): void {
  const ownership = state.duties.get(shard);
  for (const ledgerTask of state.ledgerTasks.list()) {
    if (ledgerTask.shard !== shard) continue;
    state.tasks.remove(ledgerTask.id);
    state.ledgerTasks.remove(ledgerTask.id);
    state.throttles.remove(ledgerTask.id);
  }
  for (const run of state.runs.list()) {
    if (!state.tasks.has(run.taskId)) state.runs.remove(run.id);
  }
  for (const change of state.pendingChanges.list()) {
    if (change.shard === shard) state.pendingChanges.remove(change.id);
  }
  for (const worker of state.workers.list()) {
    const workerShard = findWorkerShard(
      state.configuration.current,
      worker.id,
      worker.region,
      worker.zone,
    );
    if (workerShard === shard || workerShard === undefined) state.workers.remove(worker.id);
  }
  state.ledgers.remove(shard);
  if (ownership === undefined) return;
  state.duties.update(shard, { phase: 'watching', inheritedUntilMs: 0 });
  state.counters.add('duty_drops', { reason });
  recordDecision(state, nowMs, shard, 'drop-duty', reason);
  state.outbox.append({
    kind: 'log',
    level: 'warn',
    event: 'duty_dropped',
    fields: { shard, epoch: ownership.epoch, reason },
  });
}
