import * as z from 'zod/mini';

/** Longest host name that DNS allows, and a port. */
const MAX_ADDRESS_LENGTH = 253 + ':65535'.length;
const OCTET = '(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)';
const LABEL = '[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?';
/**
 * The last label of a host name begins with a letter: URL parsers read any other one as part of an
 * IPv4 address, and throw when it is none.
 */
const HOST_NAME = `(?:${LABEL}\\.)*[A-Za-z](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?`;
const HOST = `(?:${OCTET}(?:\\.${OCTET}){3}|${HOST_NAME})`;
/** 1 to 65535. */
const PORT = '(?:6553[0-5]|655[0-2]\\d|65[0-4]\\d{2}|6[0-4]\\d{3}|[1-5]\\d{4}|[1-9]\\d{0,3})';

/** Host and port of a TCP address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`. */
export function parseAddress(address: string): HostPort {
  const separatorIndex = address.lastIndexOf(':');
  return {
    host: address.slice(0, Math.max(0, separatorIndex)),
    port: Number(address.slice(separatorIndex + 1)),
  };
}

const ADDRESS = new RegExp(`^${HOST}:${PORT}$`);

/** Whether a process can connect to `host:port`. */
export function isAddress(address: string): boolean {
  return address.length <= MAX_ADDRESS_LENGTH && ADDRESS.test(address);
}

/** `host:port` of a process that another process connects to; IPv4 addresses or host names. */
export const addressSchema = z
  .string()
  .check(
    z.maxLength(MAX_ADDRESS_LENGTH),
    z.regex(ADDRESS, 'must be host:port with a port from 1 to 65535'),
  );

/** `host:port` that a process listens on; port 0 selects any free port. */
export const listenAddressSchema = z
  .string()
  .check(
    z.maxLength(MAX_ADDRESS_LENGTH),
    z.regex(new RegExp(`^${HOST}:(?:0|${PORT})$`), 'must be host:port with a port from 0 to 65535'),
  );
