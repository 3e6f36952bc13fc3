import type { EvacuationRow } from '../../model/placement.ts';
import type { TaskRow } from '../../model/task.ts';
import { estimateRunSeconds } from '../placement/sizeCorrection.ts';
import type { PlacementPass } from '../placement/placementPass.ts';
import { listUsableZones } from '../placement/placementPass.ts';

/** Chooses which batch tasks of a zone that is out of service stop now. */
export abstract class EvacuationPolicy {
  abstract readonly name: string;
  /** Whether a replica stops only after a replacement runs in another zone. */
  abstract readonly replacesReplicasFirst: boolean;
  abstract listTasksToStop(
    pass: PlacementPass,
    evacuation: EvacuationRow,
    tasks: readonly TaskRow[],
  ): TaskRow[];
}

/** Stops all tasks at once, which requeues them in no order. Baseline in benchmarks. */
export class PlainRestart extends EvacuationPolicy {
  override readonly name = 'plain-restart';
  override readonly replacesReplicasFirst = false;

  private constructor() {
    super();
  }

  static create(): PlainRestart {
    return new PlainRestart();
  }

  override listTasksToStop(
    _pass: PlacementPass,
    _evacuation: EvacuationRow,
    tasks: readonly TaskRow[],
  ): TaskRow[] {
    return tasks.filter((task) => task.stopReason === undefined);
  }
}

/** At most the zone's initial tasks divided by this are being checkpointed at a time. */
const STOPPING_DIVISOR = 4;

/** Moves tasks in order of deadline and value, beginning with those that fit into other zones. */
export class OrderedMove extends EvacuationPolicy {
  override readonly name = 'ordered-move';
  override readonly replacesReplicasFirst = true;

  private constructor() {
    super();
  }

  static create(): OrderedMove {
    return new OrderedMove();
  }

  override listTasksToStop(
    pass: PlacementPass,
    evacuation: EvacuationRow,
    tasks: readonly TaskRow[],
  ): TaskRow[] {
    const waiting = tasks.filter((task) => task.stopReason === undefined);
    const stopping = tasks.length - waiting.length;
    const limit = Math.max(1, Math.floor(evacuation.initialTaskCount / STOPPING_DIVISOR));
    if (waiting.length === 0 || stopping >= limit) return [];
    const ordered = waiting
      .map((task) => ({ task, slackSeconds: computeSlackSeconds(pass, evacuation, task) }))
      .sort(compareForMove)
      .map(({ task }) => task);
    return sortByFit(pass, ordered).slice(0, limit - stopping);
  }
}

/** Returns the slack before the deadline; infinite without one or when it can no longer be met. */
function computeSlackSeconds(
  pass: PlacementPass,
  evacuation: EvacuationRow,
  task: TaskRow,
): number {
  if (task.deadlineSeconds === undefined) return Number.POSITIVE_INFINITY;
  const elapsed = (pass.tick.now - evacuation.sinceMs) / 1_000;
  const slack = task.deadlineSeconds - elapsed - estimateRunSeconds(pass.state, task);
  return slack < 0 ? Number.POSITIVE_INFINITY : slack;
}

interface MoveCandidate {
  readonly task: TaskRow;
  readonly slackSeconds: number;
}

function compareForMove(a: MoveCandidate, b: MoveCandidate): number {
  if (a.slackSeconds !== b.slackSeconds) return a.slackSeconds < b.slackSeconds ? -1 : 1;
  return computeValuePerCore(b.task) - computeValuePerCore(a.task);
}

function computeValuePerCore(task: TaskRow): number {
  return task.value / Math.max(0.1, task.demand.cores);
}

/** Sorts the tasks that fit into the free cores of the other zones before those that do not. */
function sortByFit(pass: PlacementPass, ordered: readonly TaskRow[]): TaskRow[] {
  let freeCores = 0;
  const zones = new Set([...pass.pools.values()].flatMap((pool) => listUsableZones(pass, pool)));
  for (const commitment of pass.state.placement.commitments.values()) {
    if (zones.has(commitment.zone)) freeCores += commitment.freeCores;
  }
  const fitting: TaskRow[] = [];
  const unfitting: TaskRow[] = [];
  for (const task of ordered) {
    const fits = task.demand.cores <= freeCores;
    if (fits) freeCores -= task.demand.cores;
    (fits ? fitting : unfitting).push(task);
  }
  return [...fitting, ...unfitting];
}
