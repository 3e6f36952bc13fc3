/** Addresses that another writer may leave in a record, and that no process can connect to. */
export const INVALID_ADDRESSES: readonly string[] = [
  '127.0.0.1:99999',
  '127.0.0.1:65536',
  '127.0.0.1:0',
  '127.0.0.1:1e9',
  '127.0.0.1:-1',
  '127.0.0.1:',
  '127.0.0.1',
  '127.0.0.999:80',
  '127.0.0.0.1:80',
  '0x7f.1:80',
  'x y',
  'x y:80',
  '[::',
  '',
  ':80',
  'a/b@c:1',
  'a\u0000b:1',
  `${'a'.repeat(300)}.example:80`,
  '127.0.0.1:80\n',
];

/** Builds text of JSON with lists nested to a depth that recursive readers don't survive. */
export function buildNestedJson(depth: number): string {
  return `${'['.repeat(depth)}${']'.repeat(depth)}`;
}
