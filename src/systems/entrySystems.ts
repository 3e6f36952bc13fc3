import type { System } from '../base/common/system.ts';
import type { EntryState } from '../model/entryState.ts';
import { ConfigurationReadSystem } from './configuration/configurationReadSystem.ts';
import { EntryDrainSystem } from './drain/entryDrainSystem.ts';
import { KeyClaimSystem } from './keys/keyClaimSystem.ts';
import { KeyHandOverSystem } from './keys/keyHandOverSystem.ts';
import { KeyHolderSystem } from './keys/keyHolderSystem.ts';
import { KeyReplySystem } from './keys/keyReplySystem.ts';
import { ExchangeSystem } from './membership/exchangeSystem.ts';
import { AttemptReplySystem } from './requests/attemptReplySystem.ts';
import { DispatchSystem } from './requests/dispatchSystem.ts';
import { RequestIntakeSystem } from './requests/requestIntakeSystem.ts';
import { ResendSystem } from './requests/resendSystem.ts';
import type { RetryPolicy } from './requests/retryPolicy.ts';
import { BudgetedRetry } from './requests/retryPolicy.ts';
import { RetrySystem } from './requests/retrySystem.ts';
import { RandomRouting } from './routing/routingPolicy.ts';

/** The systems of an entry in the order in which a turn runs them. */
export function createEntrySystems(
  retryPolicy: RetryPolicy = BudgetedRetry.create(),
): System<EntryState>[] {
  return [
    ConfigurationReadSystem.create(),
    ExchangeSystem.create(),
    AttemptReplySystem.create(retryPolicy),
    ResendSystem.create(retryPolicy),
    RequestIntakeSystem.create(),
    KeyHandOverSystem.create(),
    KeyClaimSystem.create(),
    KeyHolderSystem.create(),
    KeyReplySystem.create(),
    RetrySystem.create(),
    DispatchSystem.create(RandomRouting.create()),
    EntryDrainSystem.create(),
  ];
}
