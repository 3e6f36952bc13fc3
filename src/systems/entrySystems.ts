import type { System } from '../base/common/system.ts';
import type { EntryState } from '../model/entryState.ts';
import { ConfigurationReadSystem } from './configuration/configurationReadSystem.ts';
import { ExchangeSystem } from './membership/exchangeSystem.ts';
import { AttemptReplySystem } from './requests/attemptReplySystem.ts';
import { DispatchSystem } from './requests/dispatchSystem.ts';
import { RequestIntakeSystem } from './requests/requestIntakeSystem.ts';
import { RandomRouting } from './routing/routingPolicy.ts';

/** The systems of an entry in the order in which a turn runs them. */
export function createEntrySystems(): System<EntryState>[] {
  return [
    ConfigurationReadSystem.create(),
    ExchangeSystem.create(),
    AttemptReplySystem.create(),
    RequestIntakeSystem.create(),
    DispatchSystem.create(RandomRouting.create()),
  ];
}
