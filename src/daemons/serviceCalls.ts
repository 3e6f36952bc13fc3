import type { Clock } from '../base/common/clock.ts';
import type { Disposable } from '../base/common/disposable.ts';
import type { Metrics } from '../base/node/metrics.ts';
import type { FailureMonitor } from './failureMonitor.ts';
import type { SchedulerArrival, SchedulerEffect } from '../model/scheduler/schedulerMessages.ts';
import type { AdviceClient } from '../protocol/node/adviceClient.ts';
import type { InstanceClient } from '../protocol/node/instanceClient.ts';
import type { StoreClient } from '../protocol/node/storeClient.ts';

/** The platform's services that an entry calls. */
export interface ExternalServices {
  readonly store: StoreClient;
  readonly adviser: AdviceClient;
  readonly instances: InstanceClient;
}

/** Where the process records durations and failures of its calls. */
export interface CallRecords {
  readonly metrics: Metrics;
  readonly failures: FailureMonitor;
}

/** The reply of every service to a call without an answer. */
interface ServiceFailure {
  readonly kind: 'unavailable';
  readonly message: string;
}

type ServiceEffect<Kind extends SchedulerEffect['kind']> = Extract<SchedulerEffect, { kind: Kind }>;

/** Sends an entry's calls to the platform's services and forwards the replies to its loop. */
export class ServiceCalls implements Disposable {
  private constructor(
    private readonly services: ExternalServices,
    private readonly clock: Clock,
    private readonly records: CallRecords,
    private readonly receive: (arrival: SchedulerArrival) => void,
  ) {}

  static create(
    services: ExternalServices,
    clock: Clock,
    records: CallRecords,
    receive: (arrival: SchedulerArrival) => void,
  ): ServiceCalls {
    return new ServiceCalls(services, clock, records, receive);
  }

  callStore({ call, callId, timeoutMs }: ServiceEffect<'callStore'>): void {
    const sentAt = this.clock.now;
    const pending = this.services.store.send(call, timeoutMs);
    void this.completeCall('store', pending).then((reply) => {
      // A watch waits for changes, so its duration does not measure the latency of the store.
      if (call.op !== 'watchPrefix')
        this.records.metrics.recordDuration(
          'store_call_duration_ms',
          { op: call.op, result: reply.kind },
          this.clock.now - sentAt,
        );
      this.receive({ kind: 'storeReply', callId, reply, sentAt });
    });
  }

  requestAdvice({ callId, request, timeoutMs }: ServiceEffect<'requestAdvice'>): void {
    const sentAt = this.clock.now;
    const pending = this.services.adviser.request(request, timeoutMs);
    void this.completeCall('adviser', pending).then((reply) => {
      this.receive({ kind: 'adviceReply', callId, reply, sentAt });
    });
  }

  callInstances({ callId, call, timeoutMs }: ServiceEffect<'callInstances'>): void {
    const sentAt = this.clock.now;
    const pending = this.services.instances.send(call, timeoutMs);
    void this.completeCall('instances', pending).then((reply) => {
      this.records.metrics.recordDuration(
        'instance_call_duration_ms',
        { op: call.op, result: reply.kind },
        this.clock.now - sentAt,
      );
      this.receive({ kind: 'instanceReply', callId, reply });
    });
  }

  dispose(): void {
    const { store, adviser, instances } = this.services;
    for (const client of [store, adviser, instances]) client.dispose();
  }

  private async completeCall<Reply>(
    service: string,
    reply: Promise<Reply | ServiceFailure>,
  ): Promise<Reply | ServiceFailure> {
    return this.records.failures.completeCall(service, reply, (message) => ({
      kind: 'unavailable',
      message,
    }));
  }
}
