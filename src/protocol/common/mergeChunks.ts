/** One buffer with the bytes of all chunks. A single chunk, the usual case, is not copied. */
export function mergeChunks(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  return first !== undefined && chunks.length === 1 ? first : Buffer.concat(chunks);
}
