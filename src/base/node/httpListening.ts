import type { Server } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Starts listening; port 0 selects a free port. Rejects when the address cannot be bound. */
export async function openHttpServer(server: Server, host: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

/** Returns the port of a listening server. */
export function getHttpPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}
