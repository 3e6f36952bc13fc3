import type { RawData } from 'ws';
import { WebSocket, WebSocketServer } from 'ws';
import type * as z from 'zod/mini';
import type { Disposable } from '../../base/common/disposable.ts';
import { parseValue } from '../../base/common/parse.ts';
import { decodePathSegment } from './requestPath.ts';

/** Time for the connection and the WebSocket handshake together, unless the opener sets another. */
const HANDSHAKE_TIMEOUT_MS = 800;
const MAX_JSON_MESSAGE_BYTES = 8 * 1024 * 1024;
/** A receiver this far behind gets no more; the link is cut and its owner starts afresh. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** What the holder of a link is told. */
export interface LinkHandlers<Message> {
  readonly onOpen: () => void;
  readonly onMessage: (message: Message) => void;
  /** Called once, also when the link never opened. */
  readonly onClose: () => void;
  /** A message that does not match the schema is left aside. */
  readonly onInvalid: (reason: string) => void;
}

/** One two-way link that carries JSON messages, validated on arrival. */
export class JsonLink<Message> implements Disposable {
  private isClosed = false;

  private constructor(
    private readonly socket: WebSocket,
    private readonly schema: z.ZodMiniType<Message>,
    private readonly handlers: LinkHandlers<Message>,
  ) {
    socket.on('message', (data) => {
      this.receive(data);
    });
    socket.on('close', () => {
      this.handleClose();
    });
    // An error is always followed by a close event, which is what counts.
    socket.on('error', () => undefined);
  }

  /** Opens a link to a {@link JsonLinkServer}. */
  static open<Message>(
    address: string,
    peerId: string,
    schema: z.ZodMiniType<Message>,
    handlers: LinkHandlers<Message>,
    handshakeTimeoutMs = HANDSHAKE_TIMEOUT_MS,
  ): JsonLink<Message> {
    const socket = new WebSocket(`ws://${address}/${encodeURIComponent(peerId)}`, {
      perMessageDeflate: false,
      handshakeTimeout: handshakeTimeoutMs,
      maxPayload: MAX_JSON_MESSAGE_BYTES,
    });
    const link = new JsonLink(socket, schema, handlers);
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

  /** Sends a message; on a link that is not open it is dropped, the sender hears of the close. */
  send(message: unknown): void {
    if (this.socket.readyState !== WebSocket.OPEN) return;
    if (this.socket.bufferedAmount > MAX_UNSENT_BYTES) this.socket.terminate();
    else this.socket.send(JSON.stringify(message));
  }

  dispose(): void {
    this.isClosed = true;
    // What was sent before still goes out; a peer that does not answer is cut off by the library.
    if (this.socket.readyState === WebSocket.OPEN) this.socket.close();
    else this.socket.terminate();
  }

  /** Ends the link at once, for a peer that may not hear of a close. */
  drop(): void {
    this.isClosed = true;
    this.socket.terminate();
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

/** Accepts links of one kind. */
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
