import type { Clock } from '../../src/base/common/clock.ts';
import type { SchedulerArrival } from '../../src/model/scheduler/schedulerMessages.ts';
import type { RunnerAgentArrival } from '../../src/model/scheduler/runnerAgentState.ts';
import type { WorldEvents } from './worldEvents.ts';
import type { AgentNode, EntryNode } from './worldNodes.ts';

export const LINK_DELAY_MS = 3;

/** Delivers events to the nodes of a world after a delay in ms. */
interface Deliveries {
  toEntry(delayMs: number, entry: EntryNode, arrival: SchedulerArrival): void;
  toAgent(delayMs: number, agent: AgentNode, arrival: RunnerAgentArrival): void;
}

/** Simulates the links between the entries and agents of a world. */
export class WorldLinks {
  /** Pairs of entries that are partitioned from each other, `ID|ID` in both orders. */
  private readonly partitionedEntries = new Set<string>();
  /** Time until a link to the owner opens, ms. */
  ownerLinkDelayMs = LINK_DELAY_MS;

  private constructor(
    private readonly clock: Clock,
    private readonly events: WorldEvents,
    private readonly entries: readonly EntryNode[],
    private readonly deliveries: Deliveries,
  ) {}

  static create(
    clock: Clock,
    events: WorldEvents,
    entries: readonly EntryNode[],
    deliveries: Deliveries,
  ): WorldLinks {
    return new WorldLinks(clock, events, entries, deliveries);
  }

  openAgent(entry: EntryNode, agent: AgentNode): void {
    if (agent.isReachable) agent.links.set(entry.id, `${entry.id}@${this.clock.now}`);
    const arrival = { kind: 'agentLink', agentId: agent.id, isOpen: agent.isReachable } as const;
    this.deliveries.toEntry(LINK_DELAY_MS, entry, arrival);
  }

  /** Closes the link from an entry to an agent; the owner reopens it. */
  closeAgent(entry: EntryNode | undefined, agent: AgentNode): void {
    const linkId = agent.links.get(entry?.id ?? '');
    if (entry === undefined || linkId === undefined) return;
    agent.links.delete(entry.id);
    this.deliveries.toAgent(LINK_DELAY_MS, agent, { kind: 'ownerLink', linkId, isOpen: false });
    const arrival = { kind: 'agentLink', agentId: agent.id, isOpen: false } as const;
    this.deliveries.toEntry(LINK_DELAY_MS, entry, arrival);
  }

  /** Ends the partitions between entries. */
  openEntries(): void {
    this.partitionedEntries.clear();
  }

  /** Partitions two entries from each other; their link closes. */
  closeEntries(entry: EntryNode, other: EntryNode): void {
    this.partitionedEntries.add(`${entry.id}|${other.id}`).add(`${other.id}|${entry.id}`);
    for (const [from, to] of [
      [entry, other],
      [other, entry],
    ] as const) {
      if (from.ownerId !== to.id) continue;
      from.ownerId = '';
      this.deliveries.toEntry(LINK_DELAY_MS, from, { kind: 'ownerLink', isOpen: false });
      const closed = { kind: 'peerLink', peerId: from.id, isOpen: false } as const;
      this.deliveries.toEntry(LINK_DELAY_MS, to, closed);
    }
  }

  openOwner(entry: EntryNode, address: string): void {
    const owner = this.entries.find(({ state }) => state.self.address === address);
    const isOpen = owner?.isUp === true && !this.partitionedEntries.has(`${entry.id}|${owner.id}`);
    entry.ownerId = isOpen ? owner.id : '';
    const attempt = (entry.ownerAttempt += 1);
    this.events.schedule(this.ownerLinkDelayMs, () => {
      if ((isOpen && entry.ownerId === '') || entry.ownerAttempt !== attempt) return;
      this.deliveries.toEntry(0, entry, { kind: 'ownerLink', isOpen });
      if (isOpen)
        this.deliveries.toEntry(0, owner, { kind: 'peerLink', peerId: entry.id, isOpen: true });
    });
  }
}
