import type * as grpc from '@grpc/grpc-js';
import * as z from 'zod/mini';
import type { AttemptMessage, AttemptReply } from '../../model/request.ts';
import {
  abandonMessageSchema,
  attemptMessageSchema,
  attemptReplySchema,
} from '../../model/request.ts';
import type { AttemptCallback, AttemptHandlers, AttemptServer } from './attemptTransport.ts';
import { AttemptTransport } from './attemptTransport.ts';
import { createGrpcServer, createMethod, GrpcClients, openGrpcServer } from './grpc.ts';

const ABANDON_TIMEOUT_MS = 1_000;

const AGENT_SERVICE = {
  attempt: createMethod('/bramleyladder.Agent/Attempt', attemptMessageSchema, attemptReplySchema),
  abandon: createMethod('/bramleyladder.Agent/Abandon', abandonMessageSchema, z.object({})),
};

/** Sends attempts as gRPC unary calls; the benchmark baseline of {@link HttpAttemptTransport}. */
export class GrpcAttemptTransport extends AttemptTransport {
  private readonly links = GrpcClients.create();

  private constructor() {
    super();
  }

  static create(): GrpcAttemptTransport {
    return new GrpcAttemptTransport();
  }

  override send(address: string, message: AttemptMessage, callback: AttemptCallback): void {
    this.links.send(address, AGENT_SERVICE.attempt, message, message.remainingMs, callback);
  }

  override sendAbandon(address: string, attemptId: string): void {
    this.links.send(
      address,
      AGENT_SERVICE.abandon,
      { attemptId },
      ABANDON_TIMEOUT_MS,
      () => undefined,
    );
  }

  override async openServer(
    host: string,
    port: number,
    handlers: AttemptHandlers,
  ): Promise<AttemptServer> {
    const server = createGrpcServer();
    server.addService(AGENT_SERVICE, {
      attempt: (
        call: grpc.ServerUnaryCall<AttemptMessage, AttemptReply>,
        callback: grpc.sendUnaryData<AttemptReply>,
      ) => {
        handlers.onAttempt(call.request, (reply) => {
          callback(null, reply);
        });
      },
      abandon: (
        call: grpc.ServerUnaryCall<{ attemptId: string }, object>,
        callback: grpc.sendUnaryData<object>,
      ) => {
        handlers.onAbandon(call.request.attemptId);
        callback(null, {});
      },
    });
    const boundPort = await openGrpcServer(server, `${host}:${port}`);
    return {
      port: boundPort,
      dispose: () => {
        server.forceShutdown();
      },
    };
  }

  override dispose(): void {
    this.links.dispose();
  }
}
