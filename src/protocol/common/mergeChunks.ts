/** Concatenates chunks. A single chunk, the usual case, is returned without a copy. */
export function mergeChunks(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  return first !== undefined && chunks.length === 1 ? first : Buffer.concat(chunks);
}
