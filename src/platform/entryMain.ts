// Main program of an entry on the users' platform.
import { randomUUID } from 'node:crypto';
import { BoundedLog } from '../base/node/boundedLog.ts';
import { handleUncaughtErrors, runUntilStopped } from '../cli/runDaemon.ts';
import { openMetricsServer } from '../daemons/metricsAddress.ts';
import { SchedulerDaemon } from '../daemons/schedulerDaemon.ts';
import { listProcessGauges, listSchedulerGauges } from '../daemons/schedulerGauges.ts';
import { schedulerSettingsSchema } from '../daemons/schedulerSettings.ts';
import { parseAddress } from '../model/address.ts';
import { StatusServer } from '../protocol/node/statusServer.ts';
import { PlatformStoreClient } from './platformStoreClient.ts';
import { SettingsFile } from './settingsFile.ts';
import { WireAdviceClient } from './wireAdviceClient.ts';
import { createEntryStatusHandler } from './wireEntryStatus.ts';
import { WireFront } from './wireFront.ts';
import { WireInstanceClient } from './wireInstanceClient.ts';

const log = BoundedLog.createFor(process.stdout);
const settingsFile = SettingsFile.create(schedulerSettingsSchema, log);
const settings = settingsFile.load();
const daemon = await SchedulerDaemon.create(
  {
    id: settings.id,
    bootId: randomUUID(),
    zone: settings.zone,
    zones: settings.zones,
    cores: settings.processor.share * settings.processor.speed,
    bounds: settings.bounds,
  },
  { host: settings.host, port: settings.linkPort },
  {
    store: PlatformStoreClient.create(settings.storeAddress),
    adviser: WireAdviceClient.create(settings.adviserAddress),
    instances: WireInstanceClient.create(settings.instancesAddress),
  },
  log,
);
handleUncaughtErrors(daemon.failures);
const status = {
  counters: daemon.state.counters,
  metrics: daemon.metrics,
  listGauges: () => [...listSchedulerGauges(daemon.state, daemon.now), ...listProcessGauges(log)],
};
await StatusServer.create(
  parseAddress(settings.readyAddress),
  status,
  createEntryStatusHandler(daemon),
);
await openMetricsServer(settings.metricsAddress, status, log);
const front = await WireFront.create(settings.callerAddress, daemon);
settingsFile.watch(({ bounds }) => {
  Object.assign(daemon.state.bounds, bounds);
});
await runUntilStopped({
  stopped: daemon.stopped,
  stop: () => {
    daemon.stop();
  },
  dispose: () => {
    front.dispose();
    daemon.dispose();
    log.write('info', 'entry_stopped', { id: settings.id });
  },
});
