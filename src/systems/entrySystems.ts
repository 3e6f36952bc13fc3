import type { System } from '../base/common/system.ts';
import type { EntryState } from '../model/entryState.ts';
import type { AdmissionPolicy } from './admission/admissionPolicy.ts';
import { DeadlineAdmission } from './admission/deadlineAdmission.ts';
import { ConfigurationReadSystem } from './configuration/configurationReadSystem.ts';
import { ConfigurationWriteSystem } from './configuration/configurationWriteSystem.ts';
import { PeerConfigurationSystem } from './configuration/peerConfigurationSystem.ts';
import { EntryDrainSystem } from './drain/entryDrainSystem.ts';
import { ShardOwnershipSystem } from './shardOwnership/shardOwnershipSystem.ts';
import type { EvacuationPolicy } from './evacuation/evacuationPolicy.ts';
import { OrderedMove } from './evacuation/evacuationPolicy.ts';
import { EvacuationSystem } from './evacuation/evacuationSystem.ts';
import { InterferenceMitigationSystem } from './interference/interferenceMitigationSystem.ts';
import { UsageSystem } from './interference/usageSystem.ts';
import { JobSystem } from './jobs/jobSystem.ts';
import { KeyClaimSystem } from './keys/keyClaimSystem.ts';
import { KeyHandoffSystem } from './keys/keyHandoffSystem.ts';
import { KeyReplicaSystem } from './keys/keyReplicaSystem.ts';
import { KeyReplySystem } from './keys/keyReplySystem.ts';
import { LeaseSystem } from './leases/leaseSystem.ts';
import { LedgerSystem } from './ledger/ledgerSystem.ts';
import { DeregistrationSystem } from './membership/deregistrationSystem.ts';
import { EndpointSyncSystem } from './membership/endpointSyncSystem.ts';
import { ExchangeSystem } from './membership/exchangeSystem.ts';
import { RegistrationSystem } from './membership/registrationSystem.ts';
import { OperatorSystem } from './operators/operatorSystem.ts';
import { CommitmentSystem } from './placement/commitmentSystem.ts';
import type { PlacementPolicy } from './placement/placementPolicy.ts';
import { InterferenceAwarePlacement } from './placement/placementPolicy.ts';
import { PlacementSystem } from './placement/placementSystem.ts';
import { ReplicaSystem } from './placement/replicaSystem.ts';
import { WorkerHealthSystem } from './placement/workerHealthSystem.ts';
import { RecoverySystem } from './recovery/recoverySystem.ts';
import { AttemptReplySystem } from './requests/attemptReplySystem.ts';
import { DispatchSystem } from './requests/dispatchSystem.ts';
import { RequestIntakeSystem } from './requests/requestIntakeSystem.ts';
import { ResendSystem } from './requests/resendSystem.ts';
import type { RetryPolicy } from './requests/retryPolicy.ts';
import { BudgetedRetry } from './requests/retryPolicy.ts';
import { RetrySystem } from './requests/retrySystem.ts';
import { LoadAwareRouting } from './routing/loadAwareRouting.ts';
import type { RoutingPolicy } from './routing/routingPolicy.ts';

/** Policies of an entry. Benchmarks replace one of them with its baseline. */
export interface EntryPolicies {
  readonly routing: RoutingPolicy;
  readonly admission: AdmissionPolicy;
  readonly retry: RetryPolicy;
  readonly placement: PlacementPolicy;
  readonly evacuation: EvacuationPolicy;
}

/** Creates the systems that place tasks, in the order in which a tick runs them. */
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
    InterferenceMitigationSystem.create(),
    PlacementSystem.create(placement),
  ];
}

/** Creates the systems of an entry in the order in which a tick runs them. */
export function createEntrySystems(policies: Partial<EntryPolicies> = {}): System<EntryState>[] {
  const routing = policies.routing ?? LoadAwareRouting.create();
  const admission = policies.admission ?? DeadlineAdmission.create();
  const retryPolicy = policies.retry ?? BudgetedRetry.create();
  const placement = policies.placement ?? InterferenceAwarePlacement.create();
  const evacuation = policies.evacuation ?? OrderedMove.create();
  return [
    ConfigurationReadSystem.create(),
    ConfigurationWriteSystem.create(),
    PeerConfigurationSystem.create(),
    RegistrationSystem.create(),
    ShardOwnershipSystem.create(),
    LedgerSystem.create(),
    LeaseSystem.create(),
    RecoverySystem.create(),
    JobSystem.create(),
    ...createPlacementSystems(placement, evacuation),
    ExchangeSystem.create(),
    EndpointSyncSystem.create(),
    AttemptReplySystem.create(retryPolicy),
    ResendSystem.create(retryPolicy),
    RequestIntakeSystem.create(),
    KeyHandoffSystem.create(),
    KeyClaimSystem.create(),
    KeyReplicaSystem.create(),
    KeyReplySystem.create(),
    RetrySystem.create(),
    DispatchSystem.create(routing, admission),
    OperatorSystem.create(),
    DeregistrationSystem.create(),
    EntryDrainSystem.create(),
  ];
}
