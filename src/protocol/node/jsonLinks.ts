import type { RawData } from 'ws';
import { WebSocket, WebSocketServer } from 'ws';
import type * as z from 'zod/mini';
import type { Disposable } from '../../base/common/disposable.ts';
import { parseValue } from '../../base/common/parse.ts';
import { isAddress } from '../../model/address.ts';
import { decodePathSegment } from './requestPath.ts';

/** Default timeout for the connection and the WebSocket handshake together. */
const HANDSHAKE_TIMEOUT_MS = 800;
const MAX_JSON_MESSAGE_BYTES = 8 * 1024 * 1024;
/** A link whose receiver falls further behind is terminated; its holder must open a new one. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** Events that a link reports to its holder. */
export interface LinkHandlers<Message> {
  readonly onOpen: () => void;
  readonly onMessage: (message: Message) => void;
  /** Called once, also when the link never opened. */
  readonly onClose: () => void;
  /** Called for a message that does not match the schema; the message is ignored. */
  readonly onInvalid: (reason: string) => void;
}

/** A two-way WebSocket connection with JSON messages, validated on receipt. */
export class JsonLink<Message> implements Disposable {
  private isClosed = false;

  /** Without a socket the link is closed from the start. */
  private constructor(
    private readonly socket: WebSocket | undefined,
    private readonly schema: z.ZodMiniType<Message>,
    private readonly handlers: LinkHandlers<Message>,
  ) {
    if (socket === undefined) return;
    socket.on('message', (data) => {
      this.receive(data);
    });
    socket.on('close', () => {
      this.handleClose();
    });
    // ws always emits a close event after an error; only the close is handled.
    socket.on('error', () => undefined);
  }

  /** Opens a link to a {@link JsonLinkServer}. Never throws: a link to an invalid address is closed. */
  static open<Message>(
    address: string,
    peerId: string,
    schema: z.ZodMiniType<Message>,
    handlers: LinkHandlers<Message>,
    handshakeTimeoutMs = HANDSHAKE_TIMEOUT_MS,
  ): JsonLink<Message> {
    const socket = openSocket(address, peerId, handshakeTimeoutMs);
    const link = new JsonLink(socket, schema, handlers);
    // The holder stores the link before it learns that the link is closed.
    if (socket === undefined)
      queueMicrotask(() => {
        link.handleClose();
      });
    else
      socket.on('open', () => {
        handlers.onOpen();
      });
    return link;
  }

  /** Wraps a connection that a server has accepted. */
  static accept<Message>(
    socket: WebSocket,
    schema: z.ZodMiniType<Message>,
    handlers: LinkHandlers<Message>,
  ): JsonLink<Message> {
    return new JsonLink(socket, schema, handlers);
  }

  /** Sends a message, or discards it on a link that is not open; `onClose` reports the close. */
  send(message: unknown): void {
    if (this.socket?.readyState !== WebSocket.OPEN) return;
    if (this.socket.bufferedAmount > MAX_UNSENT_BYTES) this.socket.terminate();
    else this.socket.send(JSON.stringify(message));
  }

  dispose(): void {
    this.isClosed = true;
    // Earlier messages are still sent; ws terminates the connection when the peer does not respond.
    if (this.socket?.readyState === WebSocket.OPEN) this.socket.close();
    else this.socket?.terminate();
  }

  /** Terminates the connection without a close handshake, for a peer that may not receive one. */
  drop(): void {
    this.isClosed = true;
    this.socket?.terminate();
  }

  private handleClose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.handlers.onClose();
  }

  private receive(data: RawData): void {
    if (this.isClosed) return;
    let value: unknown;
    try {
      value = JSON.parse((data as Buffer).toString('utf8'));
    } catch (error) {
      this.handlers.onInvalid((error as Error).message);
      return;
    }
    parseValue(this.schema, value).caseOf({
      Left: (faults) => {
        this.handlers.onInvalid(
          faults.map(({ path, message }) => `${path}: ${message}`).join('; '),
        );
      },
      Right: (message) => {
        this.handlers.onMessage(message);
      },
    });
  }
}

/** Returns undefined for an invalid address, for which the constructor can throw. */
function openSocket(
  address: string,
  peerId: string,
  handshakeTimeout: number,
): WebSocket | undefined {
  if (!isAddress(address)) return undefined;
  try {
    return new WebSocket(`ws://${address}/${encodeURIComponent(peerId)}`, {
      perMessageDeflate: false,
      handshakeTimeout,
      maxPayload: MAX_JSON_MESSAGE_BYTES,
    });
  } catch {
    return undefined;
  }
}

/** A WebSocket server that accepts links. */
export class JsonLinkServer implements Disposable {
  private constructor(private readonly server: WebSocketServer) {}

  static async create(
    host: string,
    port: number,
    onLink: (socket: WebSocket, peerId: string) => void,
  ): Promise<JsonLinkServer> {
    const server = new WebSocketServer({
      host,
      port,
      perMessageDeflate: false,
      maxPayload: MAX_JSON_MESSAGE_BYTES,
    });
    server.on('connection', (socket, request) => {
      onLink(socket, decodePathSegment((request.url ?? '/').slice(1)) ?? '');
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    return new JsonLinkServer(server);
  }

  get port(): number {
    const address = this.server.address();
    return address !== null && typeof address === 'object' ? address.port : 0;
  }

  dispose(): void {
    for (const socket of this.server.clients) socket.terminate();
    this.server.close();
  }
}
