import type { CAC } from 'cac';
import { cac } from 'cac';
import type { EndpointOptions } from './endpoint.ts';
import type { LocalOptions } from './local.ts';
import { findOptionText } from './optionText.ts';
import type { OperatorOptions } from './output.ts';
import { CommandError, EXIT_INVALID } from './output.ts';
import type { WorkerOptions } from './worker.ts';

const OPERATOR_ADDRESS_HELP =
  'Operator address of an entry, http://ip:port (or BRAMLEYLADDER_OPERATOR)';
const QUEUE_ADDRESS_HELP = 'Queue address of an entry, http://ip:port (or BRAMLEYLADDER_QUEUES)';
const DEFAULT_HOST = '127.0.0.1';

function addDaemonCommands(cli: CAC): void {
  const getSettingsPath = (settings: string | undefined): string => {
    if (settings === undefined)
      throw new CommandError('option --settings <file> is required', EXIT_INVALID);
    return settings;
  };
  cli
    .command('entry', 'Run an entry: caller HTTP API, routing, tables, shard ownership')
    .option('--settings <file>', 'Settings file, see schemas/entry-settings.schema.json')
    .action(async (options: { settings?: string }) => {
      const settings = getSettingsPath(options.settings);
      await (await import('./entry.ts')).runEntry(settings);
    });
  cli
    .command('agent', 'Run the agent of an endpoint or a worker')
    .option('--settings <file>', 'Settings file, see schemas/agent-settings.schema.json')
    .action(async (options: { settings?: string }) => {
      const settings = getSettingsPath(options.settings);
      await (await import('./agent.ts')).runAgent(settings);
    });
}

function addStandInCommands(cli: CAC): void {
  cli
    .command('store', "Run a stand-in of the platform's store for local trials")
    .option('--host <ip>', 'Address to listen on', { default: DEFAULT_HOST })
    .option('--port <port>', 'Port to listen on', { default: 7000 })
    .action(async (options: { host: string; port: number }) => {
      await (await import('./store.ts')).runStore(options.host, options.port);
    });
  cli
    .command('endpoint', 'Run a stand-in of an endpoint that announces itself to an agent')
    .option('--agent <origin>', 'Announcement address of the agent, http://ip:port')
    .option('--name <name>', 'Name of the endpoint', { default: 'runner' })
    .option('--service <service>', 'Service of the endpoint', { default: 'kit' })
    .option('--host <ip>', 'Address to listen on', { default: DEFAULT_HOST })
    .option('--port <port>', 'Port to listen on; 0 selects a free port', { default: 0 })
    .option('--slots <n>', 'Maximum concurrent requests', { default: 8 })
    .option('--connections <n>', 'Maximum concurrent connections', { default: 60 })
    .option('--service-ms <ms>', 'Processing time of each request in ms', { default: 0 })
    .action(async (options: Omit<EndpointOptions, 'agent'> & { agent?: string }) => {
      const { agent } = options;
      if (agent === undefined)
        throw new CommandError('option --agent <origin> is required', EXIT_INVALID);
      await (await import('./endpoint.ts')).runEndpoint({ ...options, agent });
    });
  cli
    .command('worker', "Run a stand-in of the platform's worker interface for an agent")
    .option('--name <name>', 'Id of the worker', { default: 'worker' })
    .option('--rack <rack>', 'Rack of the worker', { default: 'rack' })
    .option('--host <ip>', 'Address to listen on', { default: DEFAULT_HOST })
    .option('--port <port>', 'Port to listen on; 0 selects a free port', { default: 0 })
    .option('--cores <n>', 'Cores', { default: 12 })
    .option('--memory-mb <n>', 'Memory in MB', { default: 50_000 })
    .option('--accelerators <n>', 'Accelerators', { default: 0 })
    .action(async (options: WorkerOptions) => {
      await (await import('./worker.ts')).runWorker(options);
    });
}

function addLocalCommand(cli: CAC): void {
  cli
    .command('local', 'Run the whole system in one process with stand-ins of the platform')
    .option('--tables <file>', 'Tables file to use', { default: 'examples/hanbit.tables.json' })
    .option('--requests <n>', 'Number of requests in the sample load', { default: 500 })
    .option('--jobs <n>', 'Number of batch jobs in the sample load', { default: 16 })
    .option('--keep', 'Keep running until interrupted and print example calls')
    .option('--json', 'Print the summary as JSON')
    .action(async (options: LocalOptions) => {
      await (await import('./local.ts')).runLocal(options);
    });
}

interface ConfigOptions extends OperatorOptions {
  readonly baseRevision?: number;
}

interface ExplainOptions extends OperatorOptions {
  readonly address?: string;
}

async function runConfigCommand(
  action: string,
  file: string | undefined,
  options: ConfigOptions,
): Promise<void> {
  if (action === 'show') {
    await (await import('./configShow.ts')).runConfigShow(options);
    return;
  }
  if (action !== 'check' && action !== 'apply' && action !== 'diff')
    throw new CommandError('unknown action; use config check|apply|show|diff', EXIT_INVALID);
  if (file === undefined)
    throw new CommandError(`config ${action} requires a <file>`, EXIT_INVALID);
  if (action === 'check') (await import('./configCheck.ts')).runConfigCheck(file, options);
  else if (action === 'apply')
    await (await import('./configApply.ts')).runConfigApply(file, options);
  else await (await import('./configDiff.ts')).runConfigDiff(file, options);
}

function addOperatorCommands(cli: CAC): void {
  cli
    .command(
      'config <action> [file]',
      'Check, apply or diff a tables file, or show the active tables',
    )
    .option('--operator <origin>', OPERATOR_ADDRESS_HELP)
    .option('--base-revision <n>', 'Revision on which the edited tables are based (apply)')
    .option('--json', 'Print JSON')
    .example('  $ bramleyladder config check examples/hanbit.tables.json')
    .example('  $ bramleyladder config show --operator http://127.0.0.1:7102 > tables.json')
    .example('  $ bramleyladder config apply tables.json --operator http://127.0.0.1:7102')
    .action(runConfigCommand);
  cli
    .command(
      'zone <action> <zone>',
      'Take an availability zone out of service (out) or return it to service (in)',
    )
    .option('--operator <origin>', OPERATOR_ADDRESS_HELP)
    .option('--json', 'Print JSON')
    .action(async (action: string, zone: string, options: OperatorOptions) => {
      if (action !== 'out' && action !== 'in')
        throw new CommandError('unknown action; use zone out|in <zone>', EXIT_INVALID);
      await (await import('./zone.ts')).runZone(action, zone, options);
    });
  cli
    .command(
      'status',
      'Print the state of an entry: revision, entries, endpoints, shard ownership, tasks',
    )
    .option('--operator <origin>', OPERATOR_ADDRESS_HELP)
    .option('--json', 'Print JSON')
    .action(async (options: OperatorOptions) => {
      await (await import('./status.ts')).runStatus(options);
    });
  cli
    .command(
      'explain <subject> [id]',
      'Print the rows of a task, endpoint, zone or route and the decisions about it',
    )
    .option('--operator <origin>', OPERATOR_ADDRESS_HELP)
    .option(
      '--address <host:port>',
      'Status address of an entry on the platform (explain job <id>)',
    )
    .option('--json', 'Print JSON')
    .example('  $ bramleyladder explain job 872a5298d2d40877 --address 10.2.0.10:8081')
    .action(async (subject: string, id: string | undefined, options: ExplainOptions) => {
      if (id === undefined) {
        await (await import('./explain.ts')).runExplain(subject, options);
        return;
      }
      if (subject !== 'job' || options.address === undefined)
        throw new CommandError('use explain job <id> --address <host:port>', EXIT_INVALID);
      const { runExplainJob } = await import('./explainJob.ts');
      await runExplainJob(id, options.address, options.json === true);
    });
}

interface JobCommandOptions {
  readonly port: number;
  readonly keep?: boolean;
  readonly json?: boolean;
}

async function runJobCommand(
  action: string,
  file: string | undefined,
  options: JobCommandOptions,
  rawArgs: readonly string[],
): Promise<void> {
  if (action === 'local') {
    await (await import('./jobLocal.ts')).runJobLocal(options);
    return;
  }
  const jobOptions = {
    address: findOptionText(rawArgs, 'address'),
    queue: findOptionText(rawArgs, 'queue'),
    id: findOptionText(rawArgs, 'id'),
    ...(options.json === undefined ? {} : { json: options.json }),
  };
  if (action === 'submit') {
    if (file === undefined) throw new CommandError('job submit requires a <file>', EXIT_INVALID);
    await (await import('./jobSubmit.ts')).runJobSubmit(file, jobOptions);
  } else if (action === 'status') await (await import('./jobStatus.ts')).runJobStatus(jobOptions);
  else if (action === 'watch') await (await import('./jobWatch.ts')).runJobWatch(jobOptions);
  else if (action === 'cancel') await (await import('./jobCancel.ts')).runJobCancel(jobOptions);
  else
    throw new CommandError(
      'unknown action; use job submit|status|watch|cancel|local',
      EXIT_INVALID,
    );
}

function addJobCommands(cli: CAC): void {
  cli
    .command(
      'job <action> [file]',
      'Submit, watch or cancel a job of steps, or run sample jobs (local)',
    )
    .option('--address <origin>', QUEUE_ADDRESS_HELP)
    .option('--queue <name>', 'Queue of the job')
    .option(
      '--id <id>',
      'Id of the job, 16 hexadecimal digits; submitting it again does not create a second job',
    )
    .option('--port <port>', 'Port of the queue front (local); 0 selects a free port', {
      default: 0,
    })
    .option('--keep', 'Keep running until interrupted and print example calls (local)')
    .option('--json', 'Print JSON')
    .example('  $ bramleyladder job local --keep --port 7301')
    .example(
      '  $ bramleyladder job submit examples/steps.json --queue render --id 00000000000000b1 --address http://127.0.0.1:7301',
    )
    .action(async (action: string, file: string | undefined, options: JobCommandOptions) => {
      await runJobCommand(action, file, options, cli.rawArgs);
    });
}

/** Creates the command parser. Each action imports its module on demand, so only one is loaded. */
export function createCommandLine(): CAC {
  const cli = cac('bramleyladder');
  addDaemonCommands(cli);
  addStandInCommands(cli);
  addLocalCommand(cli);
  addOperatorCommands(cli);
  addJobCommands(cli);
  cli.usage('<command> [options]');
  cli.help();
  return cli;
}

/** Parses the arguments and runs the command. Throws a CommandError for invalid arguments. */
export async function runCommandLine(argv: readonly string[]): Promise<void> {
  const cli = createCommandLine();
  try {
    cli.parse([...argv], { run: false });
    if (cli.options.help === true) return;
    if (cli.matchedCommand === undefined) {
      const name = cli.args[0];
      throw new CommandError(
        name === undefined
          ? 'a command is required; --help lists the commands'
          : `unknown command ${name}; --help lists the commands`,
        EXIT_INVALID,
      );
    }
    await cli.runMatchedCommand();
  } catch (error) {
    if (error instanceof Error && error.name === 'CACError')
      throw new CommandError(error.message, EXIT_INVALID);
    throw error;
  }
}
