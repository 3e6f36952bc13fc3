import type { WebSocket } from 'ws';
import type { LogWriter } from '../base/node/logWriter.ts';
import type { OwnerCommand } from '../model/scheduler/linkMessages.ts';
import { ownerCommandSchema } from '../model/scheduler/linkMessages.ts';
import type {
  RunnerAgentArrival,
  RunnerAgentEffect,
  RunnerAgentState,
  WorkerHeartbeat,
} from '../model/scheduler/runnerAgentState.ts';
import { createRunnerAgentState } from '../model/scheduler/runnerAgentState.ts';
import { JsonLink, JsonLinkServer } from '../protocol/node/jsonLinks.ts';
import type { RunnerClient } from '../protocol/node/runnerClient.ts';
import type { StoreClient } from '../protocol/node/storeClient.ts';
import { resetOwnerLink } from '../systems/runnerAgent/agentCalls.ts';
import { createRunnerAgentSystems } from '../systems/runnerAgent/runnerAgentSystems.ts';
import { LoopDaemon } from './loopDaemon.ts';
import type { LinkAddress } from './schedulerDaemon.ts';

/** Runs an agent beside a worker: connects the loop to the worker, the owner and the store. */
export class RunnerAgentDaemon extends LoopDaemon<
  RunnerAgentArrival,
  RunnerAgentEffect,
  RunnerAgentState
> {
  private readonly ownerLinks = new Map<string, JsonLink<OwnerCommand>>();
  private linkServer: JsonLinkServer | undefined;
  private nextLinkNumber = 1;

  private constructor(
    state: RunnerAgentState,
    private readonly store: StoreClient,
    private readonly runner: RunnerClient,
    log: LogWriter,
  ) {
    super(state, createRunnerAgentSystems(), log);
  }

  static async create(
    identity: { readonly id: string; readonly zone: string },
    links: LinkAddress,
    store: StoreClient,
    runner: RunnerClient,
    log: LogWriter,
  ): Promise<RunnerAgentDaemon> {
    const state = createRunnerAgentState(identity.id, identity.zone);
    const daemon = new RunnerAgentDaemon(state, store, runner, log);
    daemon.linkServer = await JsonLinkServer.create(links.host, links.port, (socket) => {
      daemon.acceptOwner(socket);
    });
    state.self.address = `${links.host}:${daemon.linkServer.port}`;
    daemon.loop.wake();
    log.write('info', 'agent_started', { id: identity.id, zone: identity.zone });
    return daemon;
  }

  /** Forwards a heartbeat of the worker to the loop. */
  receiveHeartbeat(heartbeat: WorkerHeartbeat): void {
    this.loop.receive({ kind: 'workerBeat', heartbeat });
  }

  /** Forwards the worker's notification that it is terminating to the loop. */
  receiveLeave(workerId: string): void {
    this.loop.receive({ kind: 'workerLeft', workerId });
  }

  override stop(): void {
    this.loop.receive({ kind: 'stopRequested' });
  }

  override dispose(): void {
    this.loop.dispose();
    this.linkServer?.dispose();
    for (const link of this.ownerLinks.values()) link.dispose();
    this.runner.dispose();
    this.store.dispose();
  }

  private acceptOwner(socket: WebSocket): void {
    const linkId = `owner-${this.nextLinkNumber}`;
    this.nextLinkNumber += 1;
    const link = JsonLink.accept<OwnerCommand>(socket, ownerCommandSchema, {
      onOpen: () => undefined,
      onMessage: (command) => {
        this.loop.receive({ kind: 'ownerOrder', linkId, command });
      },
      onClose: () => {
        this.ownerLinks.delete(linkId);
        this.loop.receive({ kind: 'ownerLink', linkId, isOpen: false });
      },
      onInvalid: this.logInvalid(linkId),
    });
    this.ownerLinks.set(linkId, link);
  }

  protected override recoverFrom(): void {
    resetOwnerLink(this.state, this.clock.now);
  }

  protected override handleEffect(effect: RunnerAgentEffect): void {
    switch (effect.kind) {
      case 'log':
        this.log.write(effect.level, effect.event, effect.fields);
        return;
      case 'callRunner': {
        const sentAt = this.clock.now;
        const call = this.runner.send(
          effect.address,
          effect.workerId,
          effect.call,
          effect.timeoutMs,
        );
        void this.failures
          .completeCall('worker', call, (message) => ({ kind: 'noAnswer' as const, message }))
          .then((reply) => {
            this.metrics.recordDuration(
              'worker_call_duration_ms',
              { op: effect.call.op, result: reply.kind },
              this.clock.now - sentAt,
            );
            this.loop.receive({ kind: 'runnerReply', callId: effect.callId, reply });
          });
        return;
      }
      case 'sendOwner':
        this.ownerLinks.get(effect.linkId)?.send(effect.message);
        return;
      case 'closeOwner':
        if (effect.isSilent === true) this.ownerLinks.get(effect.linkId)?.drop();
        else this.ownerLinks.get(effect.linkId)?.dispose();
        this.ownerLinks.delete(effect.linkId);
        return;
      case 'callStore':
        void this.failures
          .completeCall('store', this.store.send(effect.call, effect.timeoutMs), (message) => ({
            kind: 'unavailable' as const,
            message,
          }))
          .then((reply) => {
            this.loop.receive({ kind: 'storeReply', callId: effect.callId, reply });
          });
        return;
      case 'exit':
        this.completeStop();
        return;
    }
  }
}
