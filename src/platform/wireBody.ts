import type { IncomingMessage } from 'node:http';

/** What came as the body of a request. `cut` means that the sender went away before its end. */
export type BodyResult =
  | { readonly kind: 'value'; readonly value: unknown }
  | { readonly kind: 'invalid' }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'cut' };

/** Reads a JSON body of bounded size; an empty body has the value undefined. */
export async function readJsonBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size <= maxBytes) chunks.push(chunk);
    });
    request.on('close', () => {
      resolve({ kind: 'cut' });
    });
    request.on('end', () => {
      if (size > maxBytes) resolve({ kind: 'tooLarge' });
      else if (size === 0) resolve({ kind: 'value', value: undefined });
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
