import type { Disposable } from '../base/common/disposable.ts';
import type { FailureMonitor } from '../daemons/failureMonitor.ts';
import { EXIT_FAILED, EXIT_OK } from './output.ts';

/** A program with a graceful shutdown. */
export interface StoppableProgram extends Disposable {
  /** Resolves when the shutdown is complete. */
  readonly stopped: Promise<void>;
  stop(): void;
}

/**
 * Contains exceptions of callbacks and promises: sockets and calls keep no state that outlives them,
 * and the loop contains those of its systems. Ends the process when failures persist.
 */
export function handleUncaughtErrors(failures: FailureMonitor): void {
  failures.onPersistent = () => {
    process.exit(EXIT_FAILED);
  };
  process.on('uncaughtException', (error) => {
    failures.record('callback', 'process', error);
  });
  process.on('unhandledRejection', (reason) => {
    failures.record('promise', 'process', reason);
  });
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
