import type { IncomingMessage } from 'node:http';

/** Outcome of reading a request body. `cut` means that the connection closed before its end. */
export type BodyResult =
  | { readonly kind: 'value'; readonly value: unknown }
  | { readonly kind: 'invalid' }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'cut' };

/** Reads a JSON body of at most `maxBytes`; an empty body has the value undefined. */
export async function readJsonBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.byteLength;
      if (sizeBytes <= maxBytes) chunks.push(chunk);
    });
    request.on('close', () => {
      resolve({ kind: 'cut' });
    });
    request.on('end', () => {
      if (sizeBytes > maxBytes) resolve({ kind: 'tooLarge' });
      else if (sizeBytes === 0) resolve({ kind: 'value', value: undefined });
      else resolve(parseBody(Buffer.concat(chunks).toString('utf8')));
    });
  });
}

function parseBody(text: string): BodyResult {
  try {
    return { kind: 'value', value: JSON.parse(text) as unknown };
  } catch {
    return { kind: 'invalid' };
  }
}
