import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

/** Notes that a wave's progress differs from the stored one, and returns the number of the change. */
export function recordWaveChange({ fleet }: SchedulerState, waveId: string): number {
  const change = (fleet.waves.get(waveId)?.change ?? 0) + 1;
  fleet.waves.update(waveId, { change });
  return change;
}
