import type { System } from '../base/common/system.ts';
import type { EntryState } from '../model/entryState.ts';
import { ConfigurationReadSystem } from './configuration/configurationReadSystem.ts';
import { ConfigurationWriteSystem } from './configuration/configurationWriteSystem.ts';
import { PeerConfigurationSystem } from './configuration/peerConfigurationSystem.ts';
import { EntryDrainSystem } from './drain/entryDrainSystem.ts';
import { KeyClaimSystem } from './keys/keyClaimSystem.ts';
import { KeyHandOverSystem } from './keys/keyHandOverSystem.ts';
import { KeyHolderSystem } from './keys/keyHolderSystem.ts';
import { KeyReplySystem } from './keys/keyReplySystem.ts';
import { DeregistrationSystem } from './membership/deregistrationSystem.ts';
import { EndpointSyncSystem } from './membership/endpointSyncSystem.ts';
import { RegistrationSystem } from './membership/registrationSystem.ts';
import { OperatorSystem } from './operators/operatorSystem.ts';
import { DutySystem } from './duties/dutySystem.ts';
import { JobSystem } from './jobs/jobSystem.ts';
import { LeaseSystem } from './leases/leaseSystem.ts';
import { LedgerSystem } from './ledger/ledgerSystem.ts';
import { ExchangeSystem } from './membership/exchangeSystem.ts';
import { FirstFitPlacementSystem } from './placement/firstFitPlacementSystem.ts';
import { RecoverySystem } from './recovery/recoverySystem.ts';
import { AttemptReplySystem } from './requests/attemptReplySystem.ts';
import { DispatchSystem } from './requests/dispatchSystem.ts';
import { RequestIntakeSystem } from './requests/requestIntakeSystem.ts';
import { ResendSystem } from './requests/resendSystem.ts';
import type { RetryPolicy } from './requests/retryPolicy.ts';
import { BudgetedRetry } from './requests/retryPolicy.ts';
import { RetrySystem } from './requests/retrySystem.ts';

import { DeadlineAdmission } from './admission/deadlineAdmission.ts';
import type { RoutingPolicy } from './routing/routingPolicy.ts';
import type { AdmissionPolicy } from './admission/admissionPolicy.ts';
import { LoadAwareRouting } from './routing/loadAwareRouting.ts';

/** The policies of an entry; benches replace one of them by its baseline. */
export interface EntryPolicies {
  readonly routing: RoutingPolicy;
  readonly admission: AdmissionPolicy;
  readonly retry: RetryPolicy;
}

/** The systems of an entry in the order in which a turn runs them. */
export function createEntrySystems(policies: Partial<EntryPolicies> = {}): System<EntryState>[] {
  const routing = policies.routing ?? LoadAwareRouting.create();
  const admission = policies.admission ?? DeadlineAdmission.create();
  const retryPolicy = policies.retry ?? BudgetedRetry.create();
  return [
    ConfigurationReadSystem.create(),
    ConfigurationWriteSystem.create(),
    PeerConfigurationSystem.create(),
    RegistrationSystem.create(),
    DutySystem.create(),
    LedgerSystem.create(),
    LeaseSystem.create(),
    RecoverySystem.create(),
    JobSystem.create(),
    FirstFitPlacementSystem.create(),
    ExchangeSystem.create(),
    EndpointSyncSystem.create(),
    AttemptReplySystem.create(retryPolicy),
    ResendSystem.create(retryPolicy),
    RequestIntakeSystem.create(),
    KeyHandOverSystem.create(),
    KeyClaimSystem.create(),
    KeyHolderSystem.create(),
    KeyReplySystem.create(),
    RetrySystem.create(),
    DispatchSystem.create(routing, admission),
    OperatorSystem.create(),
    DeregistrationSystem.create(),
    EntryDrainSystem.create(),
  ];
}
