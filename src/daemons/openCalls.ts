/** Received calls that wait for an answer of the loop. */
export class OpenCalls<Reply> {
  private readonly callbacks = new Map<string, (reply: Reply) => void>();
  private lastCallNumber = 0;

  private constructor(private readonly prefix: string) {}

  static create<Reply>(prefix: string): OpenCalls<Reply> {
    return new OpenCalls(prefix);
  }

  /** Registers the callback and returns the call id for the loop. */
  open(callback: (reply: Reply) => void): string {
    this.lastCallNumber += 1;
    const callId = `${this.prefix}-${this.lastCallNumber}`;
    this.callbacks.set(callId, callback);
    return callId;
  }

  /** Answers a call once; further answers are ignored. */
  answer(callId: string, reply: Reply): void {
    const callback = this.callbacks.get(callId);
    this.callbacks.delete(callId);
    callback?.(reply);
  }

  get size(): number {
    return this.callbacks.size;
  }
}
