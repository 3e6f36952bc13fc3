import type { GaugeSample } from '../base/node/metrics.ts';
import type { SchedulerState } from '../model/scheduler/schedulerState.ts';

/** Sizes and ages that the metrics page shows. */
export function listSchedulerGauges(state: SchedulerState): GaugeSample[] {
  const gauges: GaugeSample[] = [
    buildGauge(
      'is_owner',
      'whether this entry owns the scheduling duty',
      Number(state.ownership.role === 'owner'),
    ),
    buildGauge('owner_epoch', 'epoch of the present owner', state.ownership.epoch),
    buildGauge('jobs', 'jobs at the owner', state.jobs.size),
    buildGauge('ready_tasks', 'tasks that wait for room', countReadyTasks(state)),
    buildGauge('open_runs', 'runs that hold room', state.runs.size),
    buildGauge('open_calls', 'callers that wait for an answer', state.calls.size),
    buildGauge(
      'configuration_version',
      'version in force',
      state.operator.configuration?.version ?? 0,
    ),
    buildGauge('zones_out', 'zones out of service', state.operator.zonesOut.size),
  ];
  for (const worker of state.workers.values()) {
    let usedCpuMillis = 0;
    for (const run of state.runsByWorker.values(worker.id))
      usedCpuMillis += run.step.fills ? 0 : run.step.cpuMillis;
    const labels = { worker: worker.identity.id, zone: worker.identity.zone };
    gauges.push(
      { ...buildGauge('worker_cpu_used', 'thousandths of a core promised', usedCpuMillis), labels },
      { ...buildGauge('worker_cpu', 'thousandths of a core', worker.identity.cpuMillis), labels },
    );
  }
  return gauges;
}

function countReadyTasks({ readyTasksByStep }: SchedulerState): number {
  let count = 0;
  for (const stepKey of readyTasksByStep.keys()) count += readyTasksByStep.count(stepKey);
  return count;
}

function buildGauge(name: string, help: string, value: number): GaugeSample {
  return { name, help, labels: {}, value };
}
