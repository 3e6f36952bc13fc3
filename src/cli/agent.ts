import { LogWriter } from '../base/node/logWriter.ts';
import { AgentDaemon } from '../daemons/agentDaemon.ts';
import { agentSettingsSchema, loadJsonFile } from '../daemons/settings.ts';
import { CommandError, EXIT_INVALID } from './output.ts';
import { runUntilStopped } from './runDaemon.ts';

/** `agent --settings <file>`: runs the agent of this instance until it is stopped. */
export async function runAgent(settingsFile: string): Promise<void> {
  const settings = loadJsonFile(settingsFile, agentSettingsSchema).caseOf({
    Left: (message) => {
      throw new CommandError(message, EXIT_INVALID);
    },
    Right: (value) => value,
  });
  await runUntilStopped(await AgentDaemon.create(settings, LogWriter.create()));
}
