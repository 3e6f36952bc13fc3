import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

/** Records that a wave's progress differs from the stored one; returns the number of the change. */
export function recordWaveChange({ fleet }: SchedulerState, waveId: string): number {
  const change = (fleet.waves.get(waveId)?.change ?? 0) + 1;
  fleet.waves.update(waveId, { change });
  return change;
}
