import type { Disposable } from '../base/common/disposable.ts';
import { EXIT_FAILED, EXIT_OK } from './output.ts';

/** A program with a graceful shutdown. */
export interface StoppableProgram extends Disposable {
  /** Resolves when the shutdown is complete. */
  readonly stopped: Promise<void>;
  stop(): void;
}

/**
 * Runs a program until its graceful shutdown completes, which SIGTERM or SIGINT starts. A second
 * signal ends the process immediately.
 */
export async function runUntilStopped(program: StoppableProgram): Promise<void> {
  let isStopping = false;
  const handleSignal = (): void => {
    if (isStopping) process.exit(EXIT_FAILED);
    isStopping = true;
    program.stop();
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
  await program.stopped;
  program.dispose();
  process.exit(EXIT_OK);
}
