import type { PromiseCheck } from './promiseCheck.ts';
import { CapacityCheck } from './capacityCheck.ts';
import { ConfigurationCheck } from './configurationCheck.ts';
import { LastingTaskCheck } from './lastingTaskCheck.ts';
import { OrderCheck } from './orderCheck.ts';
import { AcceptedJobCheck, BudgetCheck, CompletionCheck, RecoveryCheck } from './outcomeCheck.ts';
import { DrainCheck, EvacuationCheck, LabelCheck } from './placementCheck.ts';
import { GracefulStopCheck, ProcessCheck } from './processCheck.ts';
import { SingleRunCheck } from './singleRunCheck.ts';
import { RejectedWorkCheck, SubmittedWorkCheck } from './submittedWorkCheck.ts';

/** Every promise that the soak checks. */
export function createPromiseChecks(): PromiseCheck[] {
  return [
    SingleRunCheck.create(),
    CapacityCheck.create(),
    OrderCheck.create(),
    SubmittedWorkCheck.create(),
    RejectedWorkCheck.create(),
    EvacuationCheck.create(),
    DrainCheck.create(),
    LabelCheck.create(),
    BudgetCheck.create(),
    CompletionCheck.create(),
    AcceptedJobCheck.create(),
    LastingTaskCheck.create(),
    RecoveryCheck.create(),
    ConfigurationCheck.create(),
    GracefulStopCheck.create(),
    ProcessCheck.create(),
  ];
}
