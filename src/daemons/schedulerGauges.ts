import type { GaugeSample } from '../base/node/metrics.ts';
import { isCountedAsDown } from '../model/scheduler/fleet.ts';
import type { RunnerAgentState } from '../model/scheduler/runnerAgentState.ts';
import type { WorkerIdentity } from '../model/scheduler/linkMessages.ts';
import type { SchedulerState } from '../model/scheduler/schedulerState.ts';
import { collectCapacities } from '../systems/scheduler/workerCapacities.ts';

const MICROSECONDS_PER_SECOND = 1_000_000;

/** Capacity by resource: thousandths of a core, MB and accelerators. */
interface CapacityAmounts {
  cpu_millis: number;
  memory_mb: number;
  gpus: number;
}

/** Lists the gauges of an entry: table sizes, ages and capacities. */
export function listSchedulerGauges(state: SchedulerState, now: number): GaugeSample[] {
  return [
    ...listOwnershipGauges(state, now),
    buildGauge('jobs', 'jobs at the owner', state.jobs.size),
    buildGauge('ready_tasks', 'tasks that wait for room', countReadyTasks(state)),
    buildGauge('open_runs', 'runs that hold room', state.runs.size),
    buildGauge('open_calls', 'callers that wait for an answer', state.calls.size),
    buildGauge('open_waves', 'waves of maintenance that are not completed', countOpenWaves(state)),
    buildGauge(
      'instances_in_waves',
      'instances that are emptied for maintenance or down for it',
      state.fleet.maintenance.list().filter(isCountedAsDown).length,
    ),
    ...listLeaseWaitGauges(state, now),
    ...listQueueGauges(state),
    ...listCapacityGauges(state, now),
  ];
}

/** Lists the gauges of an agent for its worker and its owner. */
export function listRunnerAgentGauges(state: RunnerAgentState): GaugeSample[] {
  return [
    buildGauge('worker_known', 'whether a worker reports', Number(state.worker !== undefined)),
    buildGauge('worker_silent_looks', 'looks without an answer in a row', state.poll.failures),
    buildGauge('owner_linked', 'whether an owner is linked', Number(state.owner.linkId !== '')),
    buildGauge('owner_epoch', 'epoch of the latest owner', state.owner.epoch),
    buildGauge('open_orders', 'orders that are not settled', state.commands.size),
  ];
}

/** Lists the gauges that every process has. */
export function listProcessGauges(log: { readonly leftOutLines: number }): GaugeSample[] {
  const cpu = process.cpuUsage();
  return [
    buildGauge('log_lines_left_out', 'lines that the bound of the log kept out', log.leftOutLines),
    buildGauge('resident_bytes', 'resident memory', process.memoryUsage.rss()),
    buildGauge(
      'cpu_seconds',
      'processor time since the start',
      (cpu.user + cpu.system) / MICROSECONDS_PER_SECOND,
    ),
  ];
}

function listOwnershipGauges(state: SchedulerState, now: number): GaugeSample[] {
  const { ownership, operator } = state;
  const gauges = [
    buildGauge('is_owner', 'whether this entry is the owner', Number(ownership.role === 'owner')),
    buildGauge('owner_epoch', 'epoch of the present owner', ownership.epoch),
    buildGauge('configuration_version', 'version in force', operator.configuration?.version ?? 0),
    buildGauge('zones_out', 'zones out of service', operator.zonesOut.size),
  ];
  // The age is undefined before the first confirmation; the gauge is then absent.
  if (Number.isFinite(operator.verifiedAt))
    gauges.push(
      buildGauge(
        'configuration_age_ms',
        'time since the store confirmed that the operator keys are current',
        now - operator.verifiedAt,
      ),
    );
  if (ownership.role === 'owner')
    gauges.push(
      buildGauge(
        'ownership_age_ms',
        'time since the store confirmed the ownership',
        now - ownership.confirmedAt,
      ),
    );
  return gauges;
}

/** Lists the silent workers with open runs and the longest time that their leases may last. */
function listLeaseWaitGauges({ leaseWaits }: SchedulerState, now: number): GaugeSample[] {
  const leftMs = leaseWaits.list().map(({ endsAt }) => endsAt - now);
  return [
    buildGauge('lease_waits', 'silent workers whose open runs count as running', leaseWaits.size),
    buildGauge(
      'lease_wait_left_ms',
      'longest time until the runs of a silent worker are released',
      Math.max(0, ...leftMs),
    ),
  ];
}

function countReadyTasks({ readyTasksByStep }: SchedulerState): number {
  let count = 0;
  for (const stepKey of readyTasksByStep.keys()) count += readyTasksByStep.count(stepKey);
  return count;
}

function countOpenWaves({ fleet }: SchedulerState): number {
  return fleet.waves.list().filter(({ phase }) => phase !== 'completed').length;
}

/** Lists the tasks that wait for capacity by queue. */
function listQueueGauges(state: SchedulerState): GaugeSample[] {
  if (state.ownership.role !== 'owner') return [];
  const waitingByQueue = new Map<string, number>();
  for (const stepKey of state.readyTasksByStep.keys()) {
    const task = state.readyTasksByStep.getFirst(stepKey);
    const queueName = state.jobs.get(task?.jobId ?? '')?.job.queue ?? '';
    waitingByQueue.set(
      queueName,
      (waitingByQueue.get(queueName) ?? 0) + state.readyTasksByStep.count(stepKey),
    );
  }
  // Omits idle queues, since there can be hundreds: a queue without a gauge has no waiting tasks.
  return [...waitingByQueue].map(([queue, count]) => ({
    ...buildGauge('queue_waiting_tasks', 'tasks of a queue that wait for room', count),
    labels: { queue },
  }));
}

/** Lists used capacity and capacity that is free for new tasks, by service and zone. */
function listCapacityGauges(state: SchedulerState, now: number): GaugeSample[] {
  if (state.ownership.role !== 'owner') return [];
  const used = new Map<string, CapacityAmounts>();
  const free = new Map<string, CapacityAmounts>();
  for (const agent of state.agents.values()) {
    const worker = state.workers.get(agent.workerKey ?? '');
    if (worker === undefined) continue;
    const amounts = resolveAmounts(used, worker.identity);
    resolveAmounts(free, worker.identity);
    for (const { step } of state.runsByWorker.values(worker.id)) {
      amounts.cpu_millis += step.fills ? 0 : step.cpuMillis;
      amounts.memory_mb += step.memoryMb;
      amounts.gpus += step.gpus;
    }
  }
  for (const capacity of collectCapacities(state, now)) {
    const amounts = resolveAmounts(free, capacity.worker.identity);
    amounts.cpu_millis += Math.max(0, capacity.freeCpuMillis);
    amounts.memory_mb += Math.max(0, capacity.freeMemoryMb);
    amounts.gpus += Math.max(0, capacity.freeGpus);
  }
  return [
    ...renderCapacity('room_used', 'room that open runs hold', used),
    ...renderCapacity('room_free', 'room of workers that take work now', free),
  ];
}

function resolveAmounts(
  byPool: Map<string, CapacityAmounts>,
  { service, zone }: WorkerIdentity,
): CapacityAmounts {
  const key = `${service}|${zone}`;
  const amounts = byPool.get(key) ?? { cpu_millis: 0, memory_mb: 0, gpus: 0 };
  byPool.set(key, amounts);
  return amounts;
}

function renderCapacity(
  name: string,
  help: string,
  byPool: ReadonlyMap<string, CapacityAmounts>,
): GaugeSample[] {
  return [...byPool].flatMap(([key, amounts]) => {
    const [service = '', zone = ''] = key.split('|');
    return Object.entries(amounts).map(([resource, value]: [string, number]) => ({
      ...buildGauge(name, help, value),
      labels: { service, zone, resource },
    }));
  });
}

function buildGauge(name: string, help: string, value: number): GaugeSample {
  return { name, help, labels: {}, value };
}
