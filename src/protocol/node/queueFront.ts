import type { Disposable } from '../../base/common/disposable.ts';
import type { QueueAnswer } from '../../model/scheduler/queueCall.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { JsonHandler } from './jsonServer.ts';
import { JsonServer } from './jsonServer.ts';
import type { QueueRequest } from './queueRequests.ts';
import { decodeQueueRequest, encodeQueueAnswer } from './queueRequests.ts';

/** Body limit while no configuration is in force; later the limit of the configuration applies. */
const DEFAULT_MAX_BODY_BYTES = 262_144;

/** Handles the calls of a {@link QueueFront}: an entry of the scheduler. */
export interface QueueCallHandler {
  readonly state: SchedulerState;
  readonly isStopping: boolean;
  /** Handles a call; returns a function that reports the disconnection of the caller. */
  call(request: QueueRequest, answer: (answer: QueueAnswer) => void): () => void;
}

/** HTTP front end for jobs of steps. It only translates requests; the scheduler decides. */
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
            // Closing the connection makes the caller move to another entry when this one stops.
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
