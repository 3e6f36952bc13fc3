import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { getHttpPort, openHttpServer } from '../../src/base/node/httpListening.ts';

/** Direction of bytes on a connection; `out` goes from the process that opened it. */
export type Direction = 'out' | 'back';

interface Connection {
  readonly near: Socket;
  readonly far: Socket;
  /** Directions that pass nothing on any more, without a reset. */
  readonly silent: Set<Direction>;
}

/**
 * TCP proxy on loopback between one process and one server. A cut holds bytes up and passes them on
 * afterwards, as TCP does; a silenced connection loses them for good.
 */
export class LoopbackProxy {
  /** Added to every chunk, in ms. */
  delayMs = 0;
  private readonly connections = new Set<Connection>();
  private readonly cut = new Set<Direction>();
  private isClosed = false;
  private wake: () => void = () => undefined;
  private healed = Promise.resolve();

  private port = 0;

  private constructor(
    private readonly server: Server,
    private readonly host: string,
    private readonly target: { readonly host: string; readonly port: number },
  ) {}

  static async create(
    host: string,
    target: { readonly host: string; readonly port: number },
  ): Promise<LoopbackProxy> {
    const server = createServer({ allowHalfOpen: true });
    const proxy = new LoopbackProxy(server, host, target);
    server.on('connection', (near) => {
      proxy.forward(near);
    });
    await openHttpServer(server, host, 0);
    proxy.port = getHttpPort(server);
    return proxy;
  }

  get address(): string {
    return `${this.host}:${this.port}`;
  }

  /** Holds up what goes in the directions until {@link resume}. */
  stop(directions: readonly Direction[]): void {
    if (this.cut.size === 0)
      this.healed = new Promise((resolve) => {
        this.wake = resolve;
      });
    for (const direction of directions) this.cut.add(direction);
  }

  resume(): void {
    this.cut.clear();
    this.wake();
  }

  /** Refuses new connections, as a port without a listener does, until {@link accept}. */
  refuse(): void {
    this.server.close();
  }

  accept(): void {
    if (!this.server.listening) this.server.listen(this.port, this.host);
  }

  /** Resets the open connections. */
  reset(): void {
    for (const { near, far } of this.connections) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  /** Lets the open connections go silent for good; new ones work. */
  dropBytes(directions: readonly Direction[]): void {
    for (const { silent } of this.connections)
      for (const direction of directions) silent.add(direction);
  }

  dispose(): void {
    this.isClosed = true;
    this.resume();
    this.server.close();
    for (const { near, far } of this.connections) {
      near.destroy();
      far.destroy();
    }
  }

  private forward(near: Socket): void {
    const far = connect({ ...this.target, allowHalfOpen: true });
    const connection = { near, far, silent: new Set<Direction>() };
    this.connections.add(connection);
    near.setNoDelay(true);
    far.setNoDelay(true);
    this.forwardBytes(connection, near, far, 'out');
    this.forwardBytes(connection, far, near, 'back');
    this.followClose(connection, near, far, 'out');
    this.followClose(connection, far, near, 'back');
  }

  /** Closes or resets the other side once the direction is open. */
  private followClose(
    connection: Connection,
    socket: Socket,
    other: Socket,
    direction: Direction,
  ): void {
    // The close event that follows tells of it.
    socket.on('error', () => undefined);
    socket.on('close', (hadError) => {
      const { near, far, silent } = connection;
      if (near.destroyed && far.destroyed) this.connections.delete(connection);
      void this.waitUntilOpen(direction).then(() => {
        if (silent.has(direction) && !this.isClosed) return;
        if (hadError) other.resetAndDestroy();
        else other.destroySoon();
      });
    });
  }

  private async waitUntilOpen(direction: Direction): Promise<void> {
    while (this.cut.has(direction) && !this.isClosed) await this.healed;
  }

  private forwardBytes(
    { silent }: Connection,
    from: Socket,
    to: Socket,
    direction: Direction,
  ): void {
    let last = Promise.resolve();
    const pass = (send: () => void): void => {
      const due = performance.now() + this.delayMs;
      from.pause();
      last = last.then(async () => {
        const waitMs = due - performance.now();
        if (waitMs > 0) await delay(waitMs);
        await this.waitUntilOpen(direction);
        if (!silent.has(direction) && !to.destroyed) send();
        from.resume();
      });
    };
    from.on('data', (chunk: Buffer) => {
      pass(() => to.write(chunk));
    });
    from.on('end', () => {
      pass(() => to.end());
    });
  }
}
