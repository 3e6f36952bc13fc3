import type { System } from '../base/common/system.ts';
import type { EntryState } from '../model/entryState.ts';
import { ConfigurationReadSystem } from './configuration/configurationReadSystem.ts';
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
import { RandomRouting } from './routing/routingPolicy.ts';

/** The systems of an entry in the order in which a turn runs them. */
export function createEntrySystems(): System<EntryState>[] {
  return [
    ConfigurationReadSystem.create(),
    DutySystem.create(),
    LedgerSystem.create(),
    LeaseSystem.create(),
    RecoverySystem.create(),
    JobSystem.create(),
    FirstFitPlacementSystem.create(),
    ExchangeSystem.create(),
    AttemptReplySystem.create(),
    RequestIntakeSystem.create(),
    DispatchSystem.create(RandomRouting.create()),
  ];
}
