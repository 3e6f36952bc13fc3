import type { JobProgress, TaskRecord } from '../../model/scheduler/jobRecord.ts';
import { PROGRESS_FORMAT } from '../../model/scheduler/jobRecord.ts';
import type { JobSpec } from '../../model/scheduler/jobSpec.ts';

const TASK_KEY_PATTERN = /^(\d+\.(\d+))\.\d+$/;

/** Converts stored progress of an earlier build to the present format. */
export function updateProgressFormat(progress: JobProgress, spec: JobSpec): JobProgress {
  if ((progress.format ?? 1) >= PROGRESS_FORMAT) return progress;
  const tasks = { ...progress.tasks };
  for (const [gangKey, members] of collectGangs(progress, spec)) {
    for (const [key, member] of members) tasks[key] = { ...member, failures: undefined };
    const firstKey = `${gangKey}.0`;
    const first = tasks[firstKey];
    if (first !== undefined)
      tasks[firstKey] = { ...first, ...mergeFailures([...members.values()]) };
  }
  return { ...progress, format: PROGRESS_FORMAT, tasks };
}

/** Collects the records of each gang with failed runs, by the `K.STEP` of the gang. */
function collectGangs(
  { tasks }: JobProgress,
  { steps }: JobSpec,
): Map<string, Map<string, TaskRecord>> {
  const gangs = new Map<string, Map<string, TaskRecord>>();
  for (const [key, record] of Object.entries(tasks)) {
    const [, gangKey = '', step] = TASK_KEY_PATTERN.exec(key) ?? [];
    if (record.failures === undefined || steps[Number(step)]?.gang !== true) continue;
    const members = gangs.get(gangKey) ?? new Map<string, TaskRecord>();
    gangs.set(gangKey, members.set(key, record));
  }
  return gangs;
}

/**
 * Merges the failed runs of the members of a gang. The records do not tell whether two members
 * failed in the same run, so only the largest number of one member is certain.
 */
function mergeFailures(members: readonly TaskRecord[]): Pick<TaskRecord, 'failures' | 'failedRun'> {
  let failures = 0;
  let failedRun = 0;
  for (const member of members) {
    failures = Math.max(failures, member.failures ?? 0);
    // A member that has failed and has no open run failed in its latest run.
    if (member.open === undefined) failedRun = Math.max(failedRun, member.lastRun);
  }
  return { failures, ...(failedRun === 0 ? {} : { failedRun }) };
}
