// Shared parts of the HTTP stand-ins.
import { Buffer } from 'node:buffer';
import { request as openRequest } from 'node:http';

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

export function sendJson(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends one call; resolves with the status, or with 0 when there is no answer in time. */
export async function call(method, address, path, { headers = {}, body, timeoutMs = 3_000 } = {}) {
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const outgoing = openRequest(
      `http://${address}${path}`,
      {
        method,
        agent: false,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
        signal: globalThis.AbortSignal.timeout(timeoutMs),
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => resolve({ status: 0, body: undefined }));
        response.on('end', () => {
          const answer = Buffer.concat(chunks).toString('utf8');
          resolve({
            status: response.statusCode,
            body: answer === '' ? undefined : JSON.parse(answer),
          });
        });
      },
    );
    outgoing.on('error', () => resolve({ status: 0, body: undefined }));
    outgoing.end(text);
  });
}
