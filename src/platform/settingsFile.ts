import type { z } from 'zod/mini';
import type { LogWriter } from '../base/node/logWriter.ts';
import { loadJsonFile } from '../daemons/settings.ts';

/** Environment variable with the path of the settings file, which the platform sets. */
const SETTINGS_VARIABLE = 'BRAMLEYLADDER_BOOT';

/** Settings file of a program; SIGHUP reloads it. */
export class SettingsFile<Schema extends z.ZodMiniType> {
  private apply: ((settings: z.output<Schema>) => void) | undefined;
  /** Whether a SIGHUP arrived before {@link watch} and a reload is pending. */
  private isReloadDue = false;

  private constructor(
    private readonly schema: Schema,
    private readonly log: LogWriter,
  ) {}

  /** Installs a SIGHUP handler, so that the signal no longer terminates the process. */
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

  /** Loads the settings; logs every fault in one line and exits with code 2 if there is any. */
  load(): z.output<Schema> {
    return this.read().caseOf({
      Left: (message) => {
        this.log.write('error', 'settings_invalid', { message });
        process.exit(2);
      },
      Right: (settings) => settings,
    });
  }

  /** Applies the settings after each reload; invalid settings are ignored. */
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
