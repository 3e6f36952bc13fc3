import type { z } from 'zod/mini';
import type { LogWriter } from '../base/node/logWriter.ts';
import { loadJsonFile } from '../daemons/settings.ts';

/** The platform names the settings file in this variable. */
const SETTINGS_VARIABLE = 'BRAMLEYLADDER_BOOT';

/** The settings file of a program, which SIGHUP asks to read again. */
export class SettingsFile<Schema extends z.ZodMiniType> {
  private apply: ((settings: z.output<Schema>) => void) | undefined;
  /** Whether SIGHUP came before anything could apply the settings. */
  private isReloadDue = false;

  private constructor(
    private readonly schema: Schema,
    private readonly log: LogWriter,
  ) {}

  /** From now on SIGHUP does not end the process any more. */
  static create<Schema extends z.ZodMiniType>(
    schema: Schema,
    log: LogWriter,
  ): SettingsFile<Schema> {
    const file = new SettingsFile(schema, log);
    process.on('SIGHUP', () => {
      if (file.apply === undefined) file.isReloadDue = true;
      else file.update(file.apply);
    });
    return file;
  }

  /** Loads the settings, or ends the process with one line that names every fault. */
  load(): z.output<Schema> {
    return this.read().caseOf({
      Left: (message) => {
        this.log.write('error', 'settings_invalid', { message });
        process.exit(2);
      },
      Right: (settings) => settings,
    });
  }

  /** Applies the settings of each reload; settings with faults change nothing. */
  watch(apply: (settings: z.output<Schema>) => void): void {
    this.apply = apply;
    if (this.isReloadDue) this.update(apply);
  }

  private update(apply: (settings: z.output<Schema>) => void): void {
    this.read().caseOf({
      Left: (message) => {
        this.log.write('warn', 'settings_invalid', { message });
      },
      Right: (settings) => {
        this.log.write('info', 'settings_reloaded', {});
        apply(settings);
      },
    });
  }

  private read(): ReturnType<typeof loadJsonFile<Schema>> {
    return loadJsonFile(process.env[SETTINGS_VARIABLE] ?? '', this.schema);
  }
}
