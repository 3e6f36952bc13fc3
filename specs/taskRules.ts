import type { Entry, Owner, Reply, TaskState, Worker, Write } from './taskState.ts';
import { isSameEntry, TICKS } from './taskState.ts';

/** The rules that a correct owner and worker follow. Variants break one rule each. */
export abstract class ProtocolRules {
  abstract readonly name: string;

  /** Ledger content that an owner may command a start from. */
  getStartEntry(owner: Owner): Entry | undefined {
    return owner.write === null ? owner.view : undefined;
  }

  /** Whether the assigned incarnation is proven not to run any more. */
  isProvenStopped(owner: Owner): boolean {
    return owner.stopped === owner.view.inc || (owner.lease === 0 && owner.inherited === 0);
  }

  /** What an owner does about a write without an answer. */
  resolveLostWrite(state: TaskState, owner: Owner): 'confirmed' | 'resend' | 'fenced' {
    const { write } = owner;
    if (write === null) return 'fenced';
    if (isSameEntry(state.ledger, write.entry) && state.version === write.expected + 1)
      return 'confirmed';
    return state.version === write.expected ? 'resend' : 'fenced';
  }

  /** Whether a worker obeys a reply. */
  isEpochAccepted(worker: Worker, reply: Reply): boolean {
    return reply.epoch >= worker.epoch;
  }

  /** Version that a write expects, for the store's compare-and-swap. */
  isWriteAccepted(state: TaskState, write: Write): boolean {
    return state.version === write.expected;
  }

  isZoneProofFresh(reply: Reply, age: number): boolean {
    return reply.proofAge + age <= TICKS.proof;
  }
}

/** Every rule as it should be. */
export class CorrectTaskRules extends ProtocolRules {
  override readonly name = 'correct';
}
