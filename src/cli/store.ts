import { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import { StoreServer } from '../standins/storeServer.ts';
import { runUntilStopped } from './runDaemon.ts';

/** `store`: runs the stand-in of the platform's store for local trials. */
export async function runStore(host: string, port: number): Promise<void> {
  const server = await StoreServer.create({
    host,
    port,
    clock: NodeClock.create(),
    timer: NodeTimer.create(),
  });
  LogWriter.create().write('info', 'store_started', { origin: server.origin });
  let resolveStopped: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });
  await runUntilStopped({
    stopped,
    stop: () => {
      resolveStopped();
    },
    dispose: () => {
      server.dispose();
    },
  });
}
