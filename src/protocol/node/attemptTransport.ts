import type { Disposable } from '../../base/common/disposable.ts';
import type { AttemptMessage, AttemptReply } from '../../model/request.ts';

/** Receives the reply to an attempt, or the error text when no reply arrived. Called once. */
export type AttemptCallback = (reply: AttemptReply | undefined, error: string) => void;

/** Handlers of an agent for the messages of entries. */
export interface AttemptHandlers {
  /** Runs the attempt and answers it exactly once, synchronously or later. */
  readonly onAttempt: (message: AttemptMessage, answer: (reply: AttemptReply) => void) => void;
  readonly onAbandon: (attemptId: string) => void;
}

/** The server side of a transport. */
export interface AttemptServer extends Disposable {
  readonly port: number;
}

/**
 * Carries attempts and abandon messages from entries to agents. An attempt without a reply counts
 * as a link failure, and the attempt may have run.
 */
export abstract class AttemptTransport implements Disposable {
  /** Sends an attempt; its remaining time is the timeout for the reply. */
  abstract send(address: string, message: AttemptMessage, callback: AttemptCallback): void;

  /** Notifies the agent that the reply is no longer needed. Nothing depends on its delivery. */
  abstract sendAbandon(address: string, attemptId: string): void;

  /** Starts the server for messages of entries; port 0 selects a free port. */
  abstract openServer(
    host: string,
    port: number,
    handlers: AttemptHandlers,
  ): Promise<AttemptServer>;

  abstract dispose(): void;
}
