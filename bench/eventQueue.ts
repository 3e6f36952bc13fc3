export interface TimedEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Events in order of time: a binary heap; events of the same time keep their order of insertion. */
export class EventQueue {
  private readonly heap: { event: TimedEvent; order: number }[] = [];
  private nextOrder = 0;

  private constructor() {
    // Built by create().
  }

  static create(): EventQueue {
    return new EventQueue();
  }

  add(event: TimedEvent): void {
    const { heap } = this;
    heap.push({ event, order: this.nextOrder });
    this.nextOrder += 1;
    let at = heap.length - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.isBefore(at, parent)) return;
      this.sortPair(at, parent);
      at = parent;
    }
  }

  /** Removes and returns the earliest event that is not after the given time. */
  take(untilMs: number): TimedEvent | undefined {
    const { heap } = this;
    const first = heap[0];
    if (first === undefined || first.event.atMs > untilMs) return undefined;
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return first.event;
    heap[0] = last;
    let at = 0;
    for (;;) {
      let least = at;
      for (const child of [2 * at + 1, 2 * at + 2])
        if (child < heap.length && this.isBefore(child, least)) least = child;
      if (least === at) return first.event;
      this.sortPair(at, least);
      at = least;
    }
  }

  private isBefore(left: number, right: number): boolean {
    const a = this.heap[left]!;
    const b = this.heap[right]!;
    return a.event.atMs < b.event.atMs || (a.event.atMs === b.event.atMs && a.order < b.order);
  }

  private sortPair(left: number, right: number): void {
    const kept = this.heap[left]!;
    this.heap[left] = this.heap[right]!;
    this.heap[right] = kept;
  }
}
