import type { System } from '../../base/common/system.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { AdviceRequestSystem } from './adviceRequestSystem.ts';
import { AdviceSystem } from './adviceSystem.ts';
import { AgentLinkSystem } from './agentLinkSystem.ts';
import { CallSystem } from './callSystem.ts';
import { ClockSystem } from './clockSystem.ts';
import { CommandSystem } from './commandSystem.ts';
import { CommitSystem } from './commitSystem.ts';
import { CopySystem } from './copySystem.ts';
import { FollowerSystem } from './followerSystem.ts';
import { HandoffSystem } from './handoffSystem.ts';
import { InstanceListSystem } from './instanceListSystem.ts';
import { IntakeSystem } from './intakeSystem.ts';
import { JobProgressSystem } from './jobProgressSystem.ts';
import { GracefulMaintenance } from './maintenancePolicy.ts';
import { LastOwnerSystem } from './lastOwnerSystem.ts';
import { MaintenanceSystem } from './maintenanceSystem.ts';
import { OperatorKeysSystem } from './operatorKeysSystem.ts';
import { OwnershipSystem } from './ownershipSystem.ts';
import { PaceResetSystem } from './paceResetSystem.ts';
import { PacingSystem } from './pacingSystem.ts';
import { DemandPools } from './poolPolicy.ts';
import { PoolSystem } from './poolSystem.ts';
import { PreemptionSystem } from './preemptionSystem.ts';
import { ProbationSystem } from './probationSystem.ts';
import { ReportSystem } from './reportSystem.ts';
import { RetentionSystem } from './retentionSystem.ts';
import { RunEndSystem } from './runEndSystem.ts';
import { StallSystem } from './stallSystem.ts';
import { StatusUpdateSystem } from './statusUpdateSystem.ts';
import { StopSystem } from './stopSystem.ts';
import { TakeoverSystem } from './takeoverSystem.ts';
import { LeaseExpirySystem } from './leaseExpirySystem.ts';
import { LeastWorkOrder } from './taskOrder.ts';
import {
  CpuLimitedTaskPlacement,
  SeparatingTaskPlacement,
  SlackLimitedTaskPlacement,
} from './taskPlacementPolicy.ts';
import { TaskPlacementSystem } from './taskPlacementSystem.ts';
import { TaskWaitLogSystem } from './taskWaitLogSystem.ts';
import { TransferSystem } from './transferSystem.ts';
import { WaveSystem } from './waveSystem.ts';
import { WorkerRecoverySystem } from './workerRecoverySystem.ts';

/** Creates the systems of a scheduler entry, in the order in which a tick runs them. */
export function createSchedulerSystems(): System<SchedulerState>[] {
  const queueing = CpuLimitedTaskPlacement.create(SeparatingTaskPlacement.create());
  return [
    ClockSystem.create(),
    OperatorKeysSystem.create(),
    HandoffSystem.create(),
    OwnershipSystem.create(),
    LastOwnerSystem.create(),
    TakeoverSystem.create(),
    CallSystem.create(),
    IntakeSystem.create(),
    ReportSystem.create(),
    LeaseExpirySystem.create(),
    RunEndSystem.create(),
    JobProgressSystem.create(),
    StallSystem.create(),
    WorkerRecoverySystem.create(),
    CopySystem.create(),
    PaceResetSystem.create(),
    PacingSystem.create(),
    InstanceListSystem.create(),
    PoolSystem.create(DemandPools.create()),
    TransferSystem.create(),
    WaveSystem.create(),
    MaintenanceSystem.create(GracefulMaintenance.create()),
    AdviceSystem.create(),
    TaskPlacementSystem.create(
      SlackLimitedTaskPlacement.create(queueing),
      queueing,
      SeparatingTaskPlacement.create(),
      LeastWorkOrder.create(),
    ),
    ProbationSystem.create(SeparatingTaskPlacement.create()),
    AdviceRequestSystem.create(queueing),
    TaskWaitLogSystem.create(),
    PreemptionSystem.create(),
    CommitSystem.create(),
    CommandSystem.create(),
    AgentLinkSystem.create(),
    StatusUpdateSystem.create(),
    FollowerSystem.create(),
    RetentionSystem.create(),
    StopSystem.create(),
  ];
}
