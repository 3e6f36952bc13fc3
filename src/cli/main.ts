import { cac } from 'cac';
import { loadJsonFile } from '../daemons/settings.ts';
import { tablesSchema } from '../model/configuration.ts';
import { LocalCluster, sendSampleLoad } from './localMode.ts';

const SAMPLE_REQUESTS = 200;

const cli = cac('bramleyladder');

cli
  .command('local', 'Run the whole system in this process with stand-ins of the platform')
  .option('--tables <file>', 'Tables to use', { default: 'examples/hanbit.tables.json' })
  .option('--keep', 'Keep running until interrupted')
  .action(async (options: { tables: string; keep?: boolean }) => {
    const tables = loadJsonFile(options.tables, tablesSchema).caseOf({
      Left: (message) => {
        process.stderr.write(`${message}\n`);
        process.exit(2);
      },
      Right: (value) => value,
    });
    const cluster = await LocalCluster.create(tables);
    await cluster.waitReady();
    const answered = await sendSampleLoad(cluster, SAMPLE_REQUESTS);
    process.stdout.write(`requests ${SAMPLE_REQUESTS}\nanswered ${answered}\n`);
    if (options.keep !== true) cluster.dispose();
    else process.stdout.write(`callers: http://127.0.0.1:${cluster.entries[0]?.callerPort ?? 0}\n`);
  });

cli.help();
cli.parse();
