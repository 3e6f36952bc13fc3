/** A message with a discriminating `kind`. */
export interface KindedMessage {
  readonly kind: string;
}

/**
 * Messages grouped by kind. Adapters append between ticks of the loop, systems list the messages
 * during a tick, and the loop empties the mailbox at the end of the tick.
 */
export class Mailbox<Message extends KindedMessage> {
  private byKind = new Map<string, Message[]>();
  private messageCount = 0;

  private constructor() {
    // Built by create().
  }

  static create<Message extends KindedMessage>(): Mailbox<Message> {
    return new Mailbox<Message>();
  }

  get size(): number {
    return this.messageCount;
  }

  append(message: Message): void {
    const queue = this.byKind.get(message.kind);
    if (queue === undefined) this.byKind.set(message.kind, [message]);
    else queue.push(message);
    this.messageCount += 1;
  }

  /** Messages of one kind in order of arrival. They stay listed until {@link removeAll}. */
  list<Kind extends Message['kind']>(kind: Kind): readonly Extract<Message, { kind: Kind }>[] {
    return (this.byKind.get(kind) ?? []) as Extract<Message, { kind: Kind }>[];
  }

  /** Removes and returns all messages; those of one kind stay in order of arrival. */
  removeAll(): Message[] {
    const all = [...this.byKind.values()].flat();
    this.byKind = new Map();
    this.messageCount = 0;
    return all;
  }
}
