import type { z } from 'zod/mini';
import type { LogWriter } from '../base/node/logWriter.ts';
import { loadJsonFile } from '../daemons/settings.ts';

/** The platform names the settings file in this variable. */
const SETTINGS_VARIABLE = 'BRAMLEYLADDER_BOOT';

/** Loads the settings file, or ends the process with one line that names every fault. */
export function loadSettings<Schema extends z.ZodMiniType>(
  schema: Schema,
  log: LogWriter,
): z.output<Schema> {
  const path = process.env[SETTINGS_VARIABLE] ?? '';
  return loadJsonFile(path, schema).caseOf({
    Left: (message) => {
      log.write('error', 'settings_invalid', { message });
      process.exit(2);
    },
    Right: (settings) => settings,
  });
}

/** Reads the settings again on SIGHUP; settings with faults change nothing. */
export function watchSettings<Schema extends z.ZodMiniType>(
  schema: Schema,
  log: LogWriter,
  apply: (settings: z.output<Schema>) => void,
): void {
  process.on('SIGHUP', () => {
    loadJsonFile(process.env[SETTINGS_VARIABLE] ?? '', schema).caseOf({
      Left: (message) => {
        log.write('warn', 'settings_invalid', { message });
      },
      Right: (settings) => {
        log.write('info', 'settings_reloaded', {});
        apply(settings);
      },
    });
  });
}
