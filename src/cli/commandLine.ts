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
    if (settings === undefined) throw new CommandError('give --settings <file>', EXIT_INVALID);
    return settings;
  };
  cli
    .command('entry', 'Run an entry: HTTP front of callers, routing, tables, shard duties')
    .option('--settings <file>', 'Settings, see schemas/entry-settings.schema.json')
    .action(async (options: { settings?: string }) => {
      const settings = getSettingsPath(options.settings);
      await (await import('./entry.ts')).runEntry(settings);
    });
  cli
    .command('agent', 'Run the agent beside an endpoint or a worker')
    .option('--settings <file>', 'Settings, see schemas/agent-settings.schema.json')
    .action(async (options: { settings?: string }) => {
      const settings = getSettingsPath(options.settings);
      await (await import('./agent.ts')).runAgent(settings);
    });
}

function addStandInCommands(cli: CAC): void {
  cli
    .command('store', "Run a stand-in of the platform's store, for trying the system out")
    .option('--host <ip>', 'Address to listen on', { default: DEFAULT_HOST })
    .option('--port <port>', 'Port to listen on', { default: 7000 })
    .action(async (options: { host: string; port: number }) => {
      await (await import('./store.ts')).runStore(options.host, options.port);
    });
  cli
    .command('endpoint', 'Run a stand-in of an endpoint that announces itself to an agent')
    .option('--agent <origin>', 'Announcement address of the agent, http://ip:port')
    .option('--name <name>', 'Name of the endpoint', { default: 'runner' })
    .option('--service <service>', 'Service that it runs', { default: 'kit' })
    .option('--host <ip>', 'Address to listen on', { default: DEFAULT_HOST })
    .option('--port <port>', 'Port to listen on; 0 takes any', { default: 0 })
    .option('--slots <n>', 'Requests at the same time', { default: 8 })
    .option('--connections <n>', 'Connections at the same time', { default: 60 })
    .option('--service-ms <ms>', 'Time that each request takes', { default: 0 })
    .action(async (options: Omit<EndpointOptions, 'agent'> & { agent?: string }) => {
      const { agent } = options;
      if (agent === undefined) throw new CommandError('give --agent <origin>', EXIT_INVALID);
      await (await import('./endpoint.ts')).runEndpoint({ ...options, agent });
    });
  cli
    .command('worker', "Run a stand-in of the platform's worker interface beside an agent")
    .option('--name <name>', 'Id of the worker', { default: 'worker' })
    .option('--rack <rack>', 'Rack that it is mounted in', { default: 'rack' })
    .option('--host <ip>', 'Address to listen on', { default: DEFAULT_HOST })
    .option('--port <port>', 'Port to listen on; 0 takes any', { default: 0 })
    .option('--cores <n>', 'Cores', { default: 12 })
    .option('--memory-mb <n>', 'Memory in MB', { default: 50_000 })
    .option('--accelerators <n>', 'Accelerators', { default: 0 })
    .action(async (options: WorkerOptions) => {
      await (await import('./worker.ts')).runWorker(options);
    });
}

function addLocalCommand(cli: CAC): void {
  cli
    .command('local', 'Run the whole system in this process with stand-ins of the platform')
    .option('--tables <file>', 'Tables to use', { default: 'examples/hanbit.tables.json' })
    .option('--requests <n>', 'Requests of the sample load', { default: 500 })
    .option('--jobs <n>', 'Batch jobs of the sample load', { default: 16 })
    .option('--keep', 'Keep running until interrupted and print examples of calls')
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
    throw new CommandError('use config check|apply|show|diff', EXIT_INVALID);
  if (file === undefined) throw new CommandError(`give config ${action} <file>`, EXIT_INVALID);
  if (action === 'check') (await import('./configCheck.ts')).runConfigCheck(file, options);
  else if (action === 'apply')
    await (await import('./configApply.ts')).runConfigApply(file, options);
  else await (await import('./configDiff.ts')).runConfigDiff(file, options);
}

function addOperatorCommands(cli: CAC): void {
  cli
    .command('config <action> [file]', 'check, apply or diff a file of tables, or show the tables')
    .option('--operator <origin>', OPERATOR_ADDRESS_HELP)
    .option('--base-revision <n>', 'Revision that the tables were edited from (apply)')
    .option('--json', 'Print JSON')
    .example('  $ bramleyladder config check examples/hanbit.tables.json')
    .example('  $ bramleyladder config show --operator http://127.0.0.1:7102 > tables.json')
    .example('  $ bramleyladder config apply tables.json --operator http://127.0.0.1:7102')
    .action(runConfigCommand);
  cli
    .command('zone <action> <zone>', 'Take an availability zone out of service or back in: out, in')
    .option('--operator <origin>', OPERATOR_ADDRESS_HELP)
    .option('--json', 'Print JSON')
    .action(async (action: string, zone: string, options: OperatorOptions) => {
      if (action !== 'out' && action !== 'in')
        throw new CommandError('use zone out <zone> or zone in <zone>', EXIT_INVALID);
      await (await import('./zone.ts')).runZone(action, zone, options);
    });
  cli
    .command('status', 'Print what an entry knows: revision, entries, endpoints, duties, tasks')
    .option('--operator <origin>', OPERATOR_ADDRESS_HELP)
    .option('--json', 'Print JSON')
    .action(async (options: OperatorOptions) => {
      await (await import('./status.ts')).runStatus(options);
    });
  cli
    .command(
      'explain <subject> [id]',
      'Print the row of a task, endpoint, zone or route and decisions',
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
    if (file === undefined) throw new CommandError('give job submit <file>', EXIT_INVALID);
    await (await import('./jobSubmit.ts')).runJobSubmit(file, jobOptions);
  } else if (action === 'status') await (await import('./jobStatus.ts')).runJobStatus(jobOptions);
  else if (action === 'watch') await (await import('./jobWatch.ts')).runJobWatch(jobOptions);
  else if (action === 'cancel') await (await import('./jobCancel.ts')).runJobCancel(jobOptions);
  else throw new CommandError('use job submit|status|watch|cancel|local', EXIT_INVALID);
}

function addJobCommands(cli: CAC): void {
  cli
    .command('job <action> [file]', 'submit, watch, cancel a job of steps, or try some: local')
    .option('--address <origin>', QUEUE_ADDRESS_HELP)
    .option('--queue <name>', 'Queue of the job')
    .option('--id <id>', 'Id of the job, 16 hexadecimal digits; the same id is the same job')
    .option('--port <port>', 'Port of the queue front (local); 0 takes any', { default: 0 })
    .option('--keep', 'Keep running until interrupted and print examples of calls (local)')
    .option('--json', 'Print JSON')
    .example('  $ bramleyladder job local --keep --port 7301')
    .example(
      '  $ bramleyladder job submit examples/steps.json --queue render --id 00000000000000b1 --address http://127.0.0.1:7301',
    )
    .action(async (action: string, file: string | undefined, options: JobCommandOptions) => {
      await runJobCommand(action, file, options, cli.rawArgs);
    });
}

/** The commands with their options. Each action loads its own module, so a process loads only one. */
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

/** Parses the arguments and runs the command. Throws a CommandError for arguments that are not valid. */
export async function runCommandLine(argv: readonly string[]): Promise<void> {
  const cli = createCommandLine();
  try {
    cli.parse([...argv], { run: false });
    if (cli.options.help === true) return;
    if (cli.matchedCommand === undefined) {
      const name = cli.args[0];
      throw new CommandError(
        name === undefined ? 'give a command; --help lists them' : `unknown command ${name}`,
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
