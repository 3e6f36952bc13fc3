import type { Disposable } from '../../base/common/disposable.ts';
import type { AttemptMessage, AttemptReply } from '../../model/request.ts';

/** Gets the reply of an attempt, or the text of the error when no answer came. Called once. */
export type AttemptCallback = (reply: AttemptReply | undefined, error: string) => void;

/** Where an agent takes what entries send it. */
export interface AttemptHandlers {
  /** Runs the attempt and answers it once, now or later. */
  readonly onAttempt: (message: AttemptMessage, answer: (reply: AttemptReply) => void) => void;
  readonly onAbandon: (attemptId: string) => void;
}

/** The listening side of a transport. */
export interface AttemptServer extends Disposable {
  readonly port: number;
}

/**
 * Carries attempts and abandons from entries to agents. An attempt without an answer is a link
 * failure: it may have run.
 */
export abstract class AttemptTransport implements Disposable {
  /** Sends an attempt; its remaining time bounds the wait for the answer. */
  abstract send(address: string, message: AttemptMessage, callback: AttemptCallback): void;

  /** Tells the agent that the answer is no longer wanted. Nothing depends on its arrival. */
  abstract sendAbandon(address: string, attemptId: string): void;

  /** Listens for entries; port 0 takes any free port. */
  abstract openServer(
    host: string,
    port: number,
    handlers: AttemptHandlers,
  ): Promise<AttemptServer>;

  abstract dispose(): void;
}
