import { runCommandLine } from './commandLine.ts';
import { CommandError, EXIT_FAILED } from './output.ts';

runCommandLine(process.argv).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(error instanceof CommandError ? error.exitCode : EXIT_FAILED);
});
