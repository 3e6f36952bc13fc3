import * as grpc from '@grpc/grpc-js';
import type * as z from 'zod/mini';
import { exchangeReplySchema, exchangeRequestSchema } from '../../model/exchange.ts';
import { peerCallSchema, peerReplySchema } from '../../model/peer.ts';
import * as zod from 'zod/mini';
import { decodeMessage, encodeMessage } from '../common/codec.ts';
import { MAX_MESSAGE_BYTES } from '../common/messageBounds.ts';

function decodeOrThrow<Schema extends z.ZodMiniType>(
  schema: Schema,
): (bytes: Buffer) => z.output<Schema> {
  return (bytes) =>
    decodeMessage(schema, bytes).caseOf({
      Left: (message) => {
        // grpc-js reports this error as an INTERNAL status of the call; the process continues.
        throw new Error(message);
      },
      Right: (value) => value,
    });
}

/** Creates the definition of a unary call with MessagePack messages, validated by their schemas. */
export function createMethod<Request extends z.ZodMiniType, Reply extends z.ZodMiniType>(
  path: string,
  request: Request,
  reply: Reply,
): grpc.MethodDefinition<z.output<Request>, z.output<Reply>> {
  return {
    path,
    requestStream: false,
    responseStream: false,
    requestSerialize: encodeMessage,
    requestDeserialize: decodeOrThrow(request),
    responseSerialize: encodeMessage,
    responseDeserialize: decodeOrThrow(reply),
  };
}

export const identifiedPeerCallSchema = zod.object({ from: zod.string(), call: peerCallSchema });

/** Calls that an entry serves. */
export const ENTRY_SERVICE = {
  exchange: createMethod(
    '/bramleyladder.Entry/Exchange',
    exchangeRequestSchema,
    exchangeReplySchema,
  ),
  peer: createMethod('/bramleyladder.Entry/Peer', identifiedPeerCallSchema, peerReplySchema),
};

const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  'grpc.enable_retries': 0,
  // The call statistics of channelz cost time on each call and are not used.
  'grpc.enable_channelz': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
};

export function createGrpcServer(): grpc.Server {
  return new grpc.Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
    'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
    // Channelz stays enabled: without it, forceShutdown leaves connections open and the calls on
    // them wait until their deadlines.
  });
}

/** Binds a server and returns the port in use. */
export async function openGrpcServer(server: grpc.Server, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (error, port) => {
      if (error === null) resolve(port);
      else reject(error);
    });
  });
}

/** gRPC clients of other processes, one per address, created on first use. */
export class GrpcClients {
  private readonly clients = new Map<string, grpc.Client>();

  private constructor() {
    // Built by create().
  }

  static create(): GrpcClients {
    return new GrpcClients();
  }

  /** Sends one call. The callback receives the reply, or the error text when no reply arrived. */
  send<Request, Reply>(
    address: string,
    method: grpc.MethodDefinition<Request, Reply>,
    request: Request,
    timeoutMs: number,
    callback: (reply: Reply | undefined, error: string) => void,
  ): void {
    this.getClient(address).makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      request,
      new grpc.Metadata(),
      // grpc-js compares the deadline only with the wall clock of this process.
      { deadline: Date.now() + Math.max(1, timeoutMs) },
      (error, reply) => {
        if (error === null) callback(reply, '');
        else callback(undefined, `${grpc.status[error.code]}: ${error.details}`);
      },
    );
  }

  dispose(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private getClient(address: string): grpc.Client {
    let client = this.clients.get(address);
    if (client === undefined) {
      client = new grpc.Client(address, grpc.credentials.createInsecure(), CHANNEL_OPTIONS);
      this.clients.set(address, client);
    }
    return client;
  }
}
