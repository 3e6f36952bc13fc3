import { Packr } from 'msgpackr';
import { Either } from 'purify-ts/Either';
import type * as z from 'zod/mini';
import { formatFaults, parseValue } from '../../base/common/parse.ts';

/** Plain MessagePack without record extensions, so that any MessagePack library can read it. */
const packr = new Packr({ useRecords: false });

export function encodeMessage(value: unknown): Buffer {
  return packr.pack(value);
}

/** Decodes bytes without a schema; returns the reason when they are not valid MessagePack. */
export function decodeValue(bytes: Uint8Array): Either<string, unknown> {
  return Either.encase(() => packr.unpack(bytes) as unknown).mapLeft(
    (error) => `the message is not valid MessagePack: ${error.message}`,
  );
}

/** Decodes and validates a message; returns one text with every fault and its path on failure. */
export function decodeMessage<Schema extends z.ZodMiniType>(
  schema: Schema,
  bytes: Uint8Array,
): Either<string, z.output<Schema>> {
  return decodeValue(bytes).chain((value) => parseValue(schema, value).mapLeft(formatFaults));
}
