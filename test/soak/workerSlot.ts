import type { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { Fault } from './faultPlan.ts';
import type { SoakHistory } from './history.ts';
import type { WorkerOptions, WorkerTrouble } from './workerStandIn.ts';
import { WorkerStandIn } from './workerStandIn.ts';

export type WorkerFault = Extract<Fault, { worker: string } | { workers: string[] }>;

/** Place of one worker after another beside an agent. */
export class WorkerSlot {
  private readonly trouble: WorkerTrouble = {
    losesAnswers: 0,
    actsLate: 0,
    refuses: 0,
    fails: false,
    stalls: false,
  };
  private worker: WorkerStandIn | undefined;
  private lives = 0;
  private isDisposed = false;

  private constructor(
    private readonly name: string,
    private readonly options: WorkerOptions,
    private readonly history: SoakHistory,
    private readonly random: SeededRandom,
    /** Tells the proxy whether a worker listens. */
    private readonly onChange: (isUp: boolean) => void,
  ) {}

  static create(
    name: string,
    options: WorkerOptions,
    history: SoakHistory,
    random: SeededRandom,
    onChange: (isUp: boolean) => void,
  ): WorkerSlot {
    return new WorkerSlot(name, options, history, random, onChange);
  }

  get agent(): string {
    return this.options.agent;
  }

  get labels(): readonly string[] {
    return this.options.labels;
  }

  get isUp(): boolean {
    return this.worker !== undefined;
  }

  /** Starts a worker, with the id of the one before or a new one. */
  async start(keepsId: boolean): Promise<void> {
    if (this.isDisposed) return;
    if (!keepsId) this.lives += 1;
    const id = `i-${this.name}-${this.lives}`;
    const { options, trouble, history, random } = this;
    this.worker = await WorkerStandIn.create(id, options, trouble, history, random);
    this.onChange(true);
  }

  /** Sends the agent a heartbeat of an incarnation that does not exist. */
  async sendFalseBeat(bornMs: number, keepsId: boolean): Promise<void> {
    await this.worker?.sendFalseBeat(bornMs, keepsId);
  }

  /** Brings a fault about; the returned function ends it. */
  apply(fault: WorkerFault): () => void {
    switch (fault.kind) {
      case 'workerLosesAnswers':
        return this.set({ losesAnswers: fault.share }, { losesAnswers: 0 });
      case 'workerActsLate':
        return this.set({ actsLate: fault.share }, { actsLate: 0 });
      case 'workerRefuses':
        return this.set({ refuses: fault.share }, { refuses: 0 });
      case 'workerFails':
        return this.set({ fails: true }, { fails: false });
      case 'workerStalls':
        return this.set({ stalls: true }, { stalls: false });
      case 'workerCrash':
        this.stop((worker) => {
          worker.dispose();
        }, fault);
        break;
      case 'workerGone':
        this.worker?.dispose();
        this.worker = undefined;
        this.onChange(false);
        break;
      case 'workerDrains':
        this.stop((worker) => worker.drain(), fault);
    }
    return () => undefined;
  }

  dispose(): void {
    this.isDisposed = true;
    this.worker?.dispose();
  }

  private set(begin: Partial<WorkerTrouble>, end: Partial<WorkerTrouble>): () => void {
    Object.assign(this.trouble, begin);
    return () => {
      Object.assign(this.trouble, end);
    };
  }

  /** Ends the worker in its own time; another one comes a while after. */
  private stop(
    end: (worker: WorkerStandIn) => unknown,
    { keepsId, forMs }: Extract<WorkerFault, { keepsId: boolean }>,
  ): void {
    const { worker } = this;
    if (worker === undefined) return;
    void Promise.resolve(end(worker)).then(() => {
      // A worker that crashed while it drained was replaced already.
      if (this.worker !== worker) return;
      this.worker = undefined;
      this.onChange(false);
      setTimeout(() => {
        void this.start(keepsId);
      }, forMs);
    });
  }
}
