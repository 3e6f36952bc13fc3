// Main program of an agent on the users' platform.
import { BoundedLog } from '../base/node/boundedLog.ts';
import { handleUncaughtErrors, runUntilStopped } from '../cli/runDaemon.ts';
import { openMetricsServer } from '../daemons/metricsAddress.ts';
import { RunnerAgentDaemon } from '../daemons/runnerAgentDaemon.ts';
import { listProcessGauges, listRunnerAgentGauges } from '../daemons/schedulerGauges.ts';
import { runnerAgentSettingsSchema } from '../daemons/schedulerSettings.ts';
import { parseAddress } from '../model/address.ts';
import { StatusServer } from '../protocol/node/statusServer.ts';
import { PlatformStoreClient } from './platformStoreClient.ts';
import { SettingsFile } from './settingsFile.ts';
import { receiveHeartbeat } from './wireHeartbeats.ts';
import { WireRunnerClient } from './wireRunnerClient.ts';

const log = BoundedLog.createFor(process.stdout);
const settingsFile = SettingsFile.create(runnerAgentSettingsSchema, log);
const settings = settingsFile.load();
const daemon = await RunnerAgentDaemon.create(
  { id: settings.id, zone: settings.zone },
  { host: settings.host, port: settings.linkPort },
  PlatformStoreClient.create(settings.storeAddress),
  WireRunnerClient.create(),
  log,
);
handleUncaughtErrors(daemon.failures);
const status = {
  counters: daemon.state.counters,
  metrics: daemon.metrics,
  listGauges: () => [...listRunnerAgentGauges(daemon.state), ...listProcessGauges(log)],
};
await StatusServer.create(parseAddress(settings.beatAddress), status, (request, response) =>
  receiveHeartbeat(request, response, {
    workerAddress: settings.workerAddress,
    onBeat: (heartbeat) => {
      daemon.receiveHeartbeat(heartbeat);
    },
    onLeave: (workerId) => {
      daemon.receiveLeave(workerId);
    },
    onInvalid: (workerId, reason) => {
      log.write('warn', 'beat_invalid', { worker: workerId, reason });
    },
  }),
);
await openMetricsServer(settings.metricsAddress, status, log);
settingsFile.watch(() => undefined);
await runUntilStopped({
  stopped: daemon.stopped,
  stop: () => {
    daemon.stop();
  },
  dispose: () => {
    daemon.dispose();
    log.write('info', 'agent_stopped', { id: settings.id });
  },
});
