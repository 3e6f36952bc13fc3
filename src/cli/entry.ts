import { LogWriter } from '../base/node/logWriter.ts';
import { EntryDaemon } from '../daemons/entryDaemon.ts';
import { entrySettingsSchema, loadJsonFile } from '../daemons/settings.ts';
import { CommandError, EXIT_INVALID } from './output.ts';
import { runUntilStopped } from './runDaemon.ts';

/** `entry --settings <file>`: runs an entry until it is stopped. */
export async function runEntry(settingsFile: string): Promise<void> {
  const settings = loadJsonFile(settingsFile, entrySettingsSchema).caseOf({
    Left: (message) => {
      throw new CommandError(message, EXIT_INVALID);
    },
    Right: (value) => value,
  });
  await runUntilStopped(await EntryDaemon.create(settings, LogWriter.create()));
}
