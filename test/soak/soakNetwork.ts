import { LoopbackProxy } from './loopbackProxy.ts';

const LINK_PORT = 7_300;
/** Last parts of the loopback addresses. */
const PROXY_PART = 1;
const STORE_PART = 2;
const FIRST_PROCESS_PART = 10;

/**
 * Addresses and proxies of one soak. Every process has a loopback address of its own, so fixed ports
 * don't meet those of other soaks, and a proxy stands between each two processes that talk.
 */
export class SoakNetwork {
  readonly proxies = new Map<string, LoopbackProxy>();
  private readonly hosts = new Map<string, string>();

  private constructor(private readonly network: string) {}

  /** `number` tells soaks that run at the same time apart. */
  static create(number: number): SoakNetwork {
    return new SoakNetwork(`127.${64 + (number % 190)}.${1 + (Math.floor(number / 190) % 250)}`);
  }

  get storeHost(): string {
    return `${this.network}.${STORE_PART}`;
  }

  /** Loopback address of a process. */
  getHost(process: string): string {
    const known = this.hosts.get(process);
    if (known !== undefined) return known;
    const host = `${this.network}.${FIRST_PROCESS_PART + this.hosts.size}`;
    this.hosts.set(process, host);
    return host;
  }

  get linkPort(): number {
    return LINK_PORT;
  }

  /** Opens the proxy `from>to` to a port of the server. */
  async open(from: string, to: string, host: string, port: number): Promise<string> {
    const proxy = await LoopbackProxy.create(`${this.network}.${PROXY_PART}`, { host, port });
    this.proxies.set(`${from}>${to}`, proxy);
    return proxy.address;
  }

  /** Opens the proxy that a process reaches another one's links through. */
  async openLink(from: string, to: string): Promise<void> {
    await this.open(from, to, this.getHost(to), LINK_PORT);
  }

  /** Proxies that lead to a server. */
  listTo(to: string): LoopbackProxy[] {
    return [...this.proxies].flatMap(([name, proxy]) => (name.endsWith(`>${to}`) ? proxy : []));
  }

  /** Proxies between a process and others; its worker is on the same instance and stays reachable. */
  listAround(process: string): LoopbackProxy[] {
    return [...this.proxies].flatMap(([name, proxy]) => {
      const ends = name.split('>');
      return ends.includes(process) && !name.includes('worker') ? proxy : [];
    });
  }

  /** Replaces the addresses of other processes by those of the reader's proxies. */
  toProcess(reader: string, text: string): string {
    return this.replaceHosts(text, (process, address) =>
      process === reader ? address : (this.proxies.get(`${reader}>${process}`)?.address ?? address),
    );
  }

  /** Replaces the addresses of a writer's proxies by those of the processes behind them. */
  toStored(writer: string, text: string): string {
    let stored = text;
    for (const [name, { address }] of this.proxies) {
      const [from, to] = name.split('>');
      if (from === writer && to !== undefined && this.hosts.has(to))
        stored = stored.replaceAll(`"${address}"`, `"${this.getHost(to)}:${LINK_PORT}"`);
    }
    return stored;
  }

  dispose(): void {
    for (const proxy of this.proxies.values()) proxy.dispose();
  }

  private replaceHosts(
    text: string,
    replace: (process: string, address: string) => string,
  ): string {
    let replaced = text;
    if (!text.includes(`:${LINK_PORT}"`)) return text;
    for (const [process, host] of this.hosts) {
      const address = `${host}:${LINK_PORT}`;
      if (text.includes(`"${address}"`))
        replaced = replaced.replaceAll(`"${address}"`, `"${replace(process, address)}"`);
    }
    return replaced;
  }
}
