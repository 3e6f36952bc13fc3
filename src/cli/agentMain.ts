// Entry point of the agent bundle, which leaves out the modules of entries and operator commands.
import { runAgent } from './agent.ts';
import { CommandError, EXIT_FAILED, EXIT_INVALID } from './output.ts';

const [option, file, ...rest] = process.argv.slice(2);
if (option !== '--settings' || file === undefined || rest.length > 0) {
  process.stderr.write('usage: bramleyladder-agent --settings <file>\n');
  process.exit(EXIT_INVALID);
}
runAgent(file).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(error instanceof CommandError ? error.exitCode : EXIT_FAILED);
});
