import type { Server } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Starts listening. Port 0 takes any free port; rejects when the address cannot be used. */
export async function openHttpServer(server: Server, host: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

/** Port of a server that listens. */
export function getHttpPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}
