import type * as grpc from '@grpc/grpc-js';
import type * as z from 'zod/mini';
import { createFailure } from '../base/common/errors.ts';
import type { EntryArrival, JsonAnswer } from '../model/effects.ts';
import type { ExchangeReply, ExchangeRequest } from '../model/exchange.ts';
import type { PeerReply } from '../model/peer.ts';
import type { identifiedPeerCallSchema } from '../protocol/node/grpc.ts';
import { ENTRY_SERVICE } from '../protocol/node/grpc.ts';
import type { OpenCalls } from './openCalls.ts';

type IdentifiedPeerCall = z.output<typeof identifiedPeerCallSchema>;

/** Answer to a request under the path of the job interface that is not a valid call. */
export const JOB_CALL_REFUSAL: JsonAnswer = {
  kind: 'failure',
  failure: createFailure(
    'bad_request',
    'not a call of the job interface, or the body is not valid JSON',
  ),
};

/** Forwards calls of agents and other entries to the loop and holds them open for its answers. */
export function addEntryServices(
  server: grpc.Server,
  exchangeCalls: OpenCalls<ExchangeReply>,
  peerCalls: OpenCalls<PeerReply>,
  receive: (arrival: EntryArrival) => void,
): void {
  server.addService(ENTRY_SERVICE, {
    exchange: (
      call: grpc.ServerUnaryCall<ExchangeRequest, ExchangeReply>,
      callback: grpc.sendUnaryData<ExchangeReply>,
    ) => {
      const callId = exchangeCalls.open((reply) => {
        callback(null, reply);
      });
      receive({ kind: 'exchange', callId, request: call.request });
    },
    peer: (
      call: grpc.ServerUnaryCall<IdentifiedPeerCall, PeerReply>,
      callback: grpc.sendUnaryData<PeerReply>,
    ) => {
      const callId = peerCalls.open((reply) => {
        callback(null, reply);
      });
      receive({ kind: 'peerCall', callId, from: call.request.from, call: call.request.call });
    },
  });
}
