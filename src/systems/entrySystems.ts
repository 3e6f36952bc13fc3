import type { System } from '../base/common/system.ts';
import type { EntryState } from '../model/entryState.ts';
import { ConfigurationReadSystem } from './configuration/configurationReadSystem.ts';
import type { EvacuationPolicy } from './evacuation/evacuationPolicy.ts';
import { OrderedMove } from './evacuation/evacuationPolicy.ts';
import { EvacuationSystem } from './evacuation/evacuationSystem.ts';
import { SteeringSystem } from './interference/steeringSystem.ts';
import { UsageSystem } from './interference/usageSystem.ts';
import { ExchangeSystem } from './membership/exchangeSystem.ts';
import { CommitmentSystem } from './placement/commitmentSystem.ts';
import type { PlacementPolicy } from './placement/placementPolicy.ts';
import { InterferenceAwarePlacement } from './placement/placementPolicy.ts';
import { PlacementSystem } from './placement/placementSystem.ts';
import { ReplicaSystem } from './placement/replicaSystem.ts';
import { WorkerHealthSystem } from './placement/workerHealthSystem.ts';
import { AttemptReplySystem } from './requests/attemptReplySystem.ts';
import { DispatchSystem } from './requests/dispatchSystem.ts';
import { RequestIntakeSystem } from './requests/requestIntakeSystem.ts';
import { RandomRouting } from './routing/routingPolicy.ts';

/** The systems that decide where tasks run, in the order in which a turn runs them. */
export function createPlacementSystems(
  placement: PlacementPolicy,
  evacuation: EvacuationPolicy,
): System<EntryState>[] {
  return [
    CommitmentSystem.create(),
    UsageSystem.create(),
    WorkerHealthSystem.create(),
    ReplicaSystem.create(),
    EvacuationSystem.create(evacuation),
    SteeringSystem.create(),
    PlacementSystem.create(placement),
  ];
}

/** The systems of an entry in the order in which a turn runs them. */
export function createEntrySystems(): System<EntryState>[] {
  return [
    ConfigurationReadSystem.create(),
    ExchangeSystem.create(),
    AttemptReplySystem.create(),
    RequestIntakeSystem.create(),
    DispatchSystem.create(RandomRouting.create()),
    ...createPlacementSystems(InterferenceAwarePlacement.create(), OrderedMove.create()),
  ];
}
