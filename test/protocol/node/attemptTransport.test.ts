import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { AttemptMessage, AttemptReply } from '../../../src/model/request.ts';
import type {
  AttemptServer,
  AttemptTransport,
} from '../../../src/protocol/node/attemptTransport.ts';
import { GrpcAttemptTransport } from '../../../src/protocol/node/grpcAttemptTransport.ts';
import { ATTEMPT_PATH } from '../../../src/protocol/node/httpAttemptServer.ts';
import { HttpAttemptTransport } from '../../../src/protocol/node/httpAttemptTransport.ts';
import { MAX_MESSAGE_BYTES } from '../../../src/protocol/common/messageBounds.ts';

const HOST = '127.0.0.1';
const LARGE_BODY_BYTES = 8 * 1024 * 1024;

function createMessage(fields: Partial<AttemptMessage> = {}): AttemptMessage {
  return {
    attemptId: 'a',
    requestId: 'r',
    endpointId: 'e',
    agentBootId: 'b',
    remainingMs: 5_000,
    method: 'POST',
    path: '/',
    headers: [['x-a', '1']],
    body: new Uint8Array([1]),
    maxResponseBytes: LARGE_BODY_BYTES,
    ...fields,
  };
}

function createReply(message: AttemptMessage): AttemptReply {
  const response = { status: 200, headers: message.headers, body: message.body };
  return { attemptId: message.attemptId, outcome: { kind: 'response', response } };
}

interface Outcome {
  readonly reply: AttemptReply | undefined;
  readonly error: string;
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/** Waits until a duplicate callback or message would have arrived. */
async function waitForLateEvents(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 100));
}

const VARIANTS: readonly { name: string; expectedError: string; create: () => AttemptTransport }[] =
  [
    { name: 'gRPC', expectedError: 'deserializing', create: () => GrpcAttemptTransport.create() },
    { name: 'HTTP', expectedError: 'method', create: () => HttpAttemptTransport.create() },
  ];

describe.each(VARIANTS)('attempts over $name', ({ expectedError, create }) => {
  let transport: AttemptTransport;
  let server: AttemptServer;
  let received: AttemptMessage[];
  let abandoned: string[];
  let outcomes: Outcome[];
  let handle: (message: AttemptMessage, answer: (reply: AttemptReply) => void) => void;

  beforeEach(async () => {
    [received, abandoned, outcomes] = [[], [], []];
    handle = (message, answer) => {
      answer(createReply(message));
    };
    transport = create();
    server = await transport.openServer(HOST, 0, {
      onAttempt: (message, answer) => {
        received.push(message);
        handle(message, answer);
      },
      onAbandon: (attemptId) => abandoned.push(attemptId),
    });
  });

  afterEach(() => {
    transport.dispose();
    server.dispose();
  });

  async function send(fields: Partial<AttemptMessage> = {}): Promise<Outcome> {
    return new Promise((resolve) => {
      transport.send(`${HOST}:${server.port}`, createMessage(fields), (reply, error) => {
        outcomes.push({ reply, error });
        resolve({ reply, error });
      });
    });
  }

  it('do not damage bodies of 8 MB in either direction', async () => {
    const body = Buffer.alloc(LARGE_BODY_BYTES, 'ab');
    const { reply } = await send({ body });
    expect(received).toHaveLength(1);
    if (reply?.outcome.kind !== 'response') throw new Error('no response');
    expect(Buffer.compare(reply.outcome.response.body, body)).toBe(0);
  });

  it('do not receive the reply of another attempt when replies are reordered', async () => {
    const answers: (() => void)[] = [];
    handle = (message, answer) => {
      answers.push(() => {
        answer(createReply(message));
      });
    };
    const ids = ['a', 'b', 'c'];
    const pending = ids.map(async (attemptId) => send({ attemptId }));
    await waitUntil(() => answers.length === ids.length);
    for (const answer of answers.reverse()) answer();
    const replies = await Promise.all(pending);
    expect(replies.map(({ reply }) => reply?.attemptId)).toEqual(ids);
  });

  it('do not wait longer than the remaining time or fail twice', async () => {
    handle = () => undefined;
    const startMs = performance.now();
    const [short, long] = [send({ remainingMs: 50 }), send({ remainingMs: 200 })];
    expect((await short).reply).toBeUndefined();
    expect(performance.now() - startMs).toBeLessThan(200);
    expect((await long).reply).toBeUndefined();
    expect(performance.now() - startMs).toBeGreaterThanOrEqual(199);
    await waitForLateEvents();
    expect(outcomes).toHaveLength(2);
  });

  it('do not fail twice or reach the agent twice when it stops during an attempt', async () => {
    handle = () => undefined;
    const pending = send();
    await waitUntil(() => received.length === 1);
    server.dispose();
    expect((await pending).reply).toBeUndefined();
    await waitForLateEvents();
    expect([outcomes.length, received.length]).toEqual([1, 1]);
  });

  it('do not deliver a reply above the size limit', async () => {
    handle = (message, answer) => {
      answer(createReply({ ...message, body: Buffer.alloc(MAX_MESSAGE_BYTES) }));
    };
    expect((await send()).reply).toBeUndefined();
    await waitForLateEvents();
    expect(outcomes).toHaveLength(1);
  });

  it('do not reach the agent when they exceed the size limit', async () => {
    expect((await send({ body: Buffer.alloc(MAX_MESSAGE_BYTES) })).reply).toBeUndefined();
    expect(received).toHaveLength(0);
  });

  it('do not reach the agent when their fields are invalid', async () => {
    const method = 'BREW' as AttemptMessage['method'];
    const { reply, error } = await send({ method });
    expect(reply).toBeUndefined();
    expect(error).toContain(expectedError);
    expect(received).toHaveLength(0);
  });

  it('do not delay an abandon message while they run', async () => {
    handle = () => undefined;
    void send();
    await waitUntil(() => received.length === 1);
    transport.sendAbandon(`${HOST}:${server.port}`, 'a');
    await waitUntil(() => abandoned.length === 1);
    expect(abandoned).toEqual(['a']);
  });

  it('do not leave the callback uncalled when no server listens', async () => {
    server.dispose();
    expect((await send()).reply).toBeUndefined();
  });
});

describe('HTTP connections that a peer closes abruptly', () => {
  let transport: HttpAttemptTransport;
  let server: Server;
  let bodies: number;
  let sockets: Socket[];
  let handle: (response: ServerResponse) => void;

  beforeEach(async () => {
    [bodies, sockets] = [0, []];
    transport = HttpAttemptTransport.create();
    server = createServer((request, response) => {
      request.resume();
      request.on('end', () => {
        bodies += 1;
        handle(response);
      });
    });
    server.on('connection', (socket) => sockets.push(socket));
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  });

  afterEach(() => {
    transport.dispose();
    server.close();
    server.closeAllConnections();
  });

  async function collectOutcomes(): Promise<Outcome[]> {
    const outcomes: Outcome[] = [];
    const address = `${HOST}:${(server.address() as AddressInfo).port}`;
    transport.send(address, createMessage(), (reply, error) => outcomes.push({ reply, error }));
    await waitUntil(() => outcomes.length > 0);
    await waitForLateEvents();
    return outcomes;
  }

  describe('during an attempt', () => {
    it('do not cause a second send of an attempt that has no reply', async () => {
      handle = (response) => response.destroy();
      expect(await collectOutcomes()).toMatchObject([{ reply: undefined }]);
      expect(bodies).toBe(1);
    });

    it('do not cause a truncated response to count as a reply', async () => {
      handle = (response) => {
        response.writeHead(200, { 'content-length': 100 });
        response.write('half');
        setTimeout(() => response.destroy(), 20);
      };
      expect(await collectOutcomes()).toMatchObject([{ reply: undefined }]);
      expect(bodies).toBe(1);
    });
  });

  describe('while they are idle', () => {
    it('do not cause an attempt that is sent during the close to run twice', async () => {
      handle = (response) => response.writeHead(400).end();
      await collectOutcomes();
      // The connection closes in the event loop iteration in which the next attempt is sent.
      for (const socket of sockets) socket.destroy();
      bodies = 0;
      expect(await collectOutcomes()).toHaveLength(1);
      expect(bodies).toBeLessThanOrEqual(1);
    });
  });
});

describe('HTTP attempt server', () => {
  it('does not run an attempt whose message is truncated', async () => {
    const transport = HttpAttemptTransport.create();
    let received = 0;
    const server = await transport.openServer(HOST, 0, {
      onAttempt: () => (received += 1),
      onAbandon: () => undefined,
    });
    const socket = connect(server.port, HOST);
    socket.write(`POST ${ATTEMPT_PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf`);
    await waitForLateEvents();
    socket.destroy();
    await waitForLateEvents();
    expect(received).toBe(0);
    server.dispose();
    transport.dispose();
  });
});
