import type { Disposable } from '../../base/common/disposable.ts';
import type { QueueAnswer } from '../../model/scheduler/queueCall.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { JsonHandler } from './jsonServer.ts';
import { JsonServer } from './jsonServer.ts';
import type { QueueRequest } from './queueRequests.ts';
import { decodeQueueRequest, encodeQueueAnswer } from './queueRequests.ts';

/** Largest body before a configuration is in force; the configuration's own bound follows. */
const DEFAULT_MAX_BODY_BYTES = 262_144;

/** What answers the calls of a {@link QueueFront}: an entry of the scheduler. */
export interface QueueCallHandler {
  readonly state: SchedulerState;
  readonly isStopping: boolean;
  /** Takes a call; returns a function that says that the caller has gone. */
  call(request: QueueRequest, answer: (answer: QueueAnswer) => void): () => void;
}

/** HTTP front end for submitters of jobs of steps. It translates; the scheduler decides. */
export class QueueFront implements Disposable {
  private constructor(private readonly server: JsonServer) {}

  static async create(
    host: string,
    port: number,
    callHandler: QueueCallHandler,
  ): Promise<QueueFront> {
    const { operator } = callHandler.state;
    const handleRequest: JsonHandler = (request, answer, response) => {
      const decoded = decodeQueueRequest(request, operator.configuration);
      if (decoded === undefined) return false;
      decoded.caseOf({
        Left: answer,
        Right: ({ subject, request: call }) => {
          const reportDisconnect = callHandler.call(call, (queueAnswer) => {
            // A caller on an open connection moves to another entry when this one stops.
            if (callHandler.isStopping) response.setHeader('connection', 'close');
            answer(encodeQueueAnswer(queueAnswer, subject));
          });
          response.on('close', reportDisconnect);
        },
      });
      return true;
    };
    return new QueueFront(
      await JsonServer.create(
        host,
        port,
        handleRequest,
        () => operator.configuration?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      ),
    );
  }

  get port(): number {
    return this.server.port;
  }

  dispose(): void {
    this.server.dispose();
  }
}
