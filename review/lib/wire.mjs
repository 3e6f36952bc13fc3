import { Buffer } from 'node:buffer';
import { createServer, request } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';

export const HOST = '127.0.0.1';

/** Ports below those that the operating system gives to outgoing connections. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;
/** Attempts to listen on a port that another process may look at just now. */
const LISTEN_ATTEMPTS = 20;
const LISTEN_PAUSE_MS = 25;

/** Finds free loopback ports. */
export async function findPorts(count) {
  const ports = [];
  const span = LAST_PORT - FIRST_PORT;
  const offset = Math.floor(Math.random() * span);
  for (let tried = 0; ports.length < count && tried < span; tried += 1) {
    const port = FIRST_PORT + ((offset + tried) % span);
    if (await isFree(port)) ports.push(port);
  }
  if (ports.length < count) throw new Error('there are not enough free ports');
  return ports;
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.on('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Opens an HTTP server whose handler gets the decoded body. */
export async function openServer(port, handle) {
  const server = createServer((incoming, response) => {
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('error', () => undefined);
    response.on('error', () => undefined);
    incoming.on('end', () => {
      handle(incoming, decodeBody(Buffer.concat(chunks).toString('utf8')), response);
    });
  });
  for (let attempt = 1; !(await tryListen(server, port)); attempt += 1) {
    if (attempt === LISTEN_ATTEMPTS) throw new Error(`port ${port} is in use`);
    await delay(LISTEN_PAUSE_MS);
  }
  return server;
}

function tryListen(server, port) {
  return new Promise((resolve) => {
    const handleError = () => {
      resolve(false);
    };
    server.once('error', handleError);
    server.listen(port, HOST, () => {
      server.off('error', handleError);
      resolve(true);
    });
  });
}

export function closeServer(server) {
  server.close();
  server.closeAllConnections();
}

export function decodeBody(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

export function answer(response, status, body = {}) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Makes one call; status 0 means that no complete answer came. */
export function call({ port, method, path, headers = {}, body, timeoutMs }) {
  return new Promise((resolve) => {
    const payload = body === undefined ? undefined : JSON.stringify(body);
    const outgoing = request({
      host: HOST,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...headers,
        ...(payload === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(payload),
            }),
      },
    });
    const timer = setTimeout(() => {
      outgoing.destroy();
    }, timeoutMs);
    const complete = (status, text) => {
      clearTimeout(timer);
      resolve({ status, body: decodeBody(text) });
    };
    outgoing.on('error', () => {
      complete(0, '');
    });
    outgoing.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('end', () => {
        complete(response.statusCode, Buffer.concat(chunks).toString('utf8'));
      });
      response.on('close', () => {
        complete(0, '');
      });
    });
    outgoing.end(payload);
  });
}
