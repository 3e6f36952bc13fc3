import type { System } from '../base/common/system.ts';
import type { EntryState } from '../model/entryState.ts';
import { ConfigurationReadSystem } from './configuration/configurationReadSystem.ts';
import { ExchangeSystem } from './membership/exchangeSystem.ts';
import { AttemptReplySystem } from './requests/attemptReplySystem.ts';
import { DispatchSystem } from './requests/dispatchSystem.ts';
import { RequestIntakeSystem } from './requests/requestIntakeSystem.ts';
import { DeadlineAdmission } from './admission/deadlineAdmission.ts';
import type { RoutingPolicy } from './routing/routingPolicy.ts';
import type { AdmissionPolicy } from './admission/admissionPolicy.ts';
import { LoadAwareRouting } from './routing/loadAwareRouting.ts';

/** The systems of an entry in the order in which a turn runs them. */
export function createEntrySystems(
  routing: RoutingPolicy = LoadAwareRouting.create(),
  admission: AdmissionPolicy = DeadlineAdmission.create(),
): System<EntryState>[] {
  return [
    ConfigurationReadSystem.create(),
    ExchangeSystem.create(),
    AttemptReplySystem.create(),
    RequestIntakeSystem.create(),
    DispatchSystem.create(routing, admission),
  ];
}
