import type { Disposable } from '../base/common/disposable.ts';
import type { LogWriter } from '../base/node/logWriter.ts';
import type { StatusSource } from '../protocol/node/statusServer.ts';
import { StatusServer } from '../protocol/node/statusServer.ts';
import { parseAddress } from '../model/address.ts';

/** Serves metrics at a separate address. An unavailable address is logged and not fatal. */
export async function openMetricsServer(
  address: string,
  source: StatusSource,
  log: LogWriter,
): Promise<Disposable | undefined> {
  if (address === '') return undefined;
  return StatusServer.create(parseAddress(address), source, () => false).catch((error: unknown) => {
    log.write('warn', 'metrics_unavailable', { address, message: String(error) });
    return undefined;
  });
}
