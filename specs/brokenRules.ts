import { ConfigurationRules } from './configurationProtocol.ts';
import { RequestRules } from './requestProtocol.ts';
import { ProtocolRules } from './taskRules.ts';
import type { Entry, Owner, TaskState } from './taskState.ts';

/** Starts a task while the write that assigns it is still on its way. */
export class StartBeforeWrite extends ProtocolRules {
  override readonly name = 'start before the write is in';

  override getStartEntry(owner: Owner): Entry | undefined {
    return owner.write?.entry ?? owner.view;
  }
}

/** Assigns the next incarnation although the last one may still run. */
export class ResumeWithoutLeaseWait extends ProtocolRules {
  override readonly name = 'resume without the lease wait';

  override isProvenStopped(): boolean {
    return true;
  }
}

/** Writes again over whatever the store holds when an answer was lost. */
export class BlindRepeat extends ProtocolRules {
  override readonly name = 'blind repeat of a lost write';

  override resolveLostWrite(state: TaskState, owner: Owner): 'confirmed' | 'resend' | 'fenced' {
    if (owner.write !== null) owner.write = { ...owner.write, expected: state.version };
    return 'resend';
  }
}

/** The store takes writes of an owner that has been replaced. */
export class StaleOwnerNotFenced extends ProtocolRules {
  override readonly name = 'stale owner not fenced';

  override isWriteAccepted(): boolean {
    return true;
  }
}

/** Workers start tasks however old the proof is that their zone is in service. */
export class ZoneCheckLeftOut extends ProtocolRules {
  override readonly name = 'zone check left out';

  override isZoneProofFresh(): boolean {
    return true;
  }
}

/** Tries a non-idempotent request again although it may have run. */
export class RetryOfUnknown extends RequestRules {
  override readonly name = 'retry of a non-idempotent request';

  override canRetry(): boolean {
    return true;
  }
}

/** An agent forgets that it has rejected an attempt, so that a late copy of it runs. */
export class ForgottenRejection extends RequestRules {
  override readonly name = 'rejection not kept';

  override keepsRejections(): boolean {
    return false;
  }
}

/** A restarted agent runs a copy that was addressed to its earlier boot. */
export class BootNotChecked extends RequestRules {
  override readonly name = 'boot of the agent not checked';

  override checksBoot(): boolean {
    return false;
  }
}

/** A non-idempotent request with a key is dispatched without a claim. */
export class ClaimLeftOut extends RequestRules {
  override readonly name = 'claim of the key left out';

  override needsClaim(): boolean {
    return false;
  }
}

/** A second copy of an attempt runs again. */
export class CopiesNotJoined extends RequestRules {
  override readonly name = 'copies of an attempt not joined';

  override joinsCopies(): boolean {
    return false;
  }
}

/** A process applies an answer that is older than what it has in force. */
export class OlderRevisionApplied extends ConfigurationRules {
  override readonly name = 'older revision applied';

  override isAnswerApplied(): boolean {
    return true;
  }
}

/** An operator in doubt applies the edit again on the newest revision. */
export class EditRepeatedBlindly extends ConfigurationRules {
  override readonly name = 'edit repeated blindly';

  override readsBack(): boolean {
    return false;
  }
}
