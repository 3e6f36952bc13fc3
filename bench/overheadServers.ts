import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { Pool } from 'undici';
import * as z from 'zod/mini';
import { LogWriter } from '../src/base/node/logWriter.ts';
import { AgentDaemon } from '../src/daemons/agentDaemon.ts';
import { EntryDaemon } from '../src/daemons/entryDaemon.ts';
import type { AttemptTransport } from '../src/protocol/node/attemptTransport.ts';
import { GrpcAttemptTransport } from '../src/protocol/node/grpcAttemptTransport.ts';
import { HttpAttemptTransport } from '../src/protocol/node/httpAttemptTransport.ts';

const HOST = '127.0.0.1';
export const CONNECTIONS = 64;

const transportSchema = z.enum(['grpc', 'http']);
export type TransportName = z.infer<typeof transportSchema>;

/** Servers that run on a thread of their own, so that none slows down another or the load. */
const roleSchema = z.discriminatedUnion('overheadRole', [
  z.object({ overheadRole: z.literal('endpoint') }),
  z.object({ overheadRole: z.literal('forwarder'), origin: z.string() }),
  z.object({
    overheadRole: z.literal('entry'),
    storeOrigin: z.string(),
    transport: transportSchema,
  }),
  z.object({
    overheadRole: z.literal('agent'),
    origin: z.string(),
    entry: z.string(),
    transport: transportSchema,
  }),
]);
export type OverheadRole = z.infer<typeof roleSchema>;

/** Where a started server listens. */
export interface Listening {
  readonly port: number;
  /** gRPC address of an entry; empty for the others. */
  readonly linkAddress: string;
}

export interface ServerThread extends Listening {
  readonly worker: Worker;
}

/** Starts a server in a thread that loads this same module or bundle. */
export async function startServer(role: OverheadRole): Promise<ServerThread> {
  const worker = new Worker(new URL(import.meta.url), { workerData: role });
  const listening = await new Promise<Listening>((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
  return { ...listening, worker };
}

async function openEndpoint(): Promise<Listening> {
  const body = JSON.stringify({ endpoint: 'kit', answer: 'x'.repeat(100) });
  const server = createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      response.writeHead(200, { 'content-type': 'application/json' }).end(body);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return { port: (server.address() as AddressInfo).port, linkAddress: '' };
}

/** The least that a proxy of whole messages does: read the request, call, write the answer. */
async function openForwarder(origin: string): Promise<Listening> {
  const pool = new Pool(origin, { connections: CONNECTIONS, pipelining: 1 });
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = chunks.length === 0 ? null : Buffer.concat(chunks);
      const method = request.method ?? 'GET';
      void pool
        .request({ method, path: request.url ?? '/', headers: request.headers, body })
        .then(async (answer) => {
          const bytes = Buffer.from(await answer.body.arrayBuffer());
          response.writeHead(answer.statusCode, answer.headers).end(bytes);
        })
        .catch(() => response.writeHead(502).end());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return { port: (server.address() as AddressInfo).port, linkAddress: '' };
}

const PLACE = { region: 'kr-south', zone: 'busan-a', host: HOST, linkPort: 0, stopSeconds: 30 };

function createTransport(name: TransportName): AttemptTransport {
  return name === 'grpc' ? GrpcAttemptTransport.create() : HttpAttemptTransport.create();
}

async function openEntry(storeOrigin: string, transport: TransportName): Promise<Listening> {
  const settings = {
    ...PLACE,
    id: 'entry-0',
    callerPort: 0,
    operatorPort: 0,
    storeOrigin,
    peers: [],
  };
  const entry = await EntryDaemon.create(
    settings,
    LogWriter.create(true),
    createTransport(transport),
  );
  // The front end opens once the entry has read the configuration.
  while (entry.callerPort === 0) await new Promise((resolve) => setTimeout(resolve, 10));
  return { port: entry.callerPort, linkAddress: entry.state.self.info.address };
}

async function openAgent(
  origin: string,
  entry: string,
  transport: TransportName,
): Promise<Listening> {
  const settings = { ...PLACE, id: 'agent-0', announcePort: 0, entries: [entry] };
  const agent = await AgentDaemon.create(
    settings,
    LogWriter.create(true),
    createTransport(transport),
  );
  agent.register({
    name: 'kit',
    service: 'kit',
    origin,
    slots: CONNECTIONS,
    connections: CONNECTIONS,
  });
  return { port: agent.announcePort, linkAddress: '' };
}

async function openRole(role: OverheadRole): Promise<Listening> {
  switch (role.overheadRole) {
    case 'endpoint':
      return openEndpoint();
    case 'forwarder':
      return openForwarder(role.origin);
    case 'entry':
      return openEntry(role.storeOrigin, role.transport);
    case 'agent':
      return openAgent(role.origin, role.entry, role.transport);
  }
}

if (!isMainThread) {
  const role = roleSchema.safeParse(workerData);
  if (role.success) parentPort?.postMessage(await openRole(role.data));
}
