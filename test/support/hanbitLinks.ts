import { readFileSync } from 'node:fs';
import type { Tables } from '../../src/model/configuration.ts';
import { checkTables } from '../../src/model/tableChecks.ts';
import type { LinkedAgent, LinkedEntry } from '../../src/standins/memoryLinks.ts';
import { MemoryLinks } from '../../src/standins/memoryLinks.ts';

export const ZONES = ['busan-a', 'ulsan-b', 'daegu-c', 'changwon-d'];

export function loadHanbitTables(): Tables {
  return checkTables(
    JSON.parse(readFileSync('examples/hanbit.tables.json', 'utf8')),
  ).unsafeCoerce();
}

export interface HanbitLinks {
  readonly links: MemoryLinks;
  readonly entries: LinkedEntry[];
  readonly agents: LinkedAgent[];
}

export function getEntryInfo(index: number): {
  id: string;
  region: string;
  zone: string;
  address: string;
} {
  return {
    id: `entry-${index}`,
    region: 'kr-south',
    zone: ZONES[index % ZONES.length]!,
    address: `10.0.0.${index}:7100`,
  };
}

export function addHanbitAgent(
  links: MemoryLinks,
  index: number,
  seedAddresses: string[],
): LinkedAgent {
  const agent = links.addAgent({
    id: `agent-${index}`,
    bootId: `boot-${index}`,
    address: `10.0.1.${index}:7200`,
    region: 'kr-south',
    zone: ZONES[index % ZONES.length]!,
    seedAddresses,
    hasWorker: false,
  });
  agent.receive({
    kind: 'endpointAnnounced',
    announcement: {
      name: 'kit',
      service: 'kit',
      origin: 'http://127.0.0.1:9000',
      slots: 8,
      connections: 60,
    },
  });
  return agent;
}

/** Creates entries and agents that are linked; the first entry has accepted the tables as revision 1. */
export function createHanbitLinks(
  counts: { entries: number; agents: number },
  options = { seed: 1, delayMs: 4, lossRate: 0 },
): HanbitLinks {
  const links = MemoryLinks.create(options);
  const entries = Array.from({ length: counts.entries }, (_, index) =>
    links.addEntry(getEntryInfo(index)),
  );
  links.runFor(500);
  const answer = links.runOperatorCall(entries[0]!, {
    kind: 'applyConfig',
    baseRevision: 0,
    tables: loadHanbitTables(),
  });
  if (answer.kind === 'failure') throw new Error(answer.failure.message);
  const seeds = entries.map((entry) => entry.state.self.info.address);
  const agents = Array.from({ length: counts.agents }, (_, index) =>
    addHanbitAgent(links, index, seeds),
  );
  links.runFor(6_000);
  return { links, entries, agents };
}
