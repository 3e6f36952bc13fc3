import { build } from 'hdr-histogram-js';
import type { LinkedAgent, LinkedEntry } from '../src/standins/memoryLinks.ts';
import type { OperatorCall } from '../src/model/effects.ts';
import { MemoryLinks } from '../src/standins/memoryLinks.ts';
import { measureIdleAgent } from './idleAgent.ts';
import type { BenchReport } from './report.ts';
import { createUpperBoundRow } from './report.ts';

const ENTRIES = 4;
const AGENTS = 40;
const CHANGES = 500;
const DELAY_MS = 4;
const LOSS = 0.02;
const ZONES = ['busan-a', 'ulsan-b', 'daegu-c', 'changwon-d'];
const STEP_MS = 1;
const CHANGE_BOUND_MS = 30_000;
const TARGET_IN_FORCE_MS = 3_000;
const TARGET_MEMORY_MB = 64;
const TARGET_CPU_PERCENT = 3.1;
const TARGET_BYTES_PER_SECOND = 3_000;

interface Fleet {
  readonly links: MemoryLinks;
  readonly entries: readonly LinkedEntry[];
  readonly agents: readonly LinkedAgent[];
}

function getZone(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}

function createFleet(seed: number, hasWatch: boolean): Fleet {
  const links = MemoryLinks.create({ seed, delayMs: DELAY_MS, lossRate: LOSS, hasWatch });
  const entries = Array.from({ length: ENTRIES }, (_, index) =>
    links.addEntry({
      id: `entry-${index}`,
      region: 'kr-south',
      zone: getZone(index),
      address: `10.0.0.${index}:7103`,
    }),
  );
  const seedAddresses = entries.map((entry) => entry.state.self.info.address);
  const agents = Array.from({ length: AGENTS }, (_, index) =>
    links.addAgent({
      id: `agent-${index}`,
      bootId: `boot-${index}`,
      address: `10.0.1.${index}:7201`,
      region: 'kr-south',
      zone: getZone(index),
      seedAddresses,
      hasWorker: false,
    }),
  );
  links.runFor(10_000);
  return { links, entries, agents };
}

function isInForce({ entries, agents }: Fleet, revision: number): boolean {
  return (
    entries.every((entry) => entry.state.configuration.current.revision >= revision) &&
    agents.every((agent) => (agent.state.config?.revision ?? -1) >= revision)
  );
}

/** Quantiles of the time from an accepted change to the last process that has it in force. */
function measureInForce(seed: number, hasWatch: boolean): { p50Ms: number; p99Ms: number } {
  const fleet = createFleet(seed, hasWatch);
  const { links, entries, agents } = fleet;
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const pools = [
    { name: 'kit', region: 'kr-south', zones: ZONES, workClass: 'latency-critical' as const },
  ].map((pool) => ({
    ...pool,
    services: [],
    quotas: [],
    spread: 'none' as const,
    maxWorkerShare: 1,
  }));
  for (let change = 0; change < CHANGES; change += 1) {
    const entry = entries[change % ENTRIES];
    if (entry === undefined) break;
    links.runFor(500 + ((change * 37) % 1_000));
    const call: OperatorCall =
      change === 0
        ? { kind: 'applyConfig', baseRevision: 0, tables: { routes: [], pools } }
        : { kind: 'setZone', zone: getZone(change), out: change % 8 < 4 };
    const answer = links.runOperatorCall(entry, call, CHANGE_BOUND_MS);
    if (answer.kind === 'failure') throw new Error(answer.failure.message);
    const { revision } = answer.value as { revision: number };
    let waitedMs = 0;
    for (; !isInForce(fleet, revision) && waitedMs < CHANGE_BOUND_MS; waitedMs += STEP_MS)
      links.runFor(STEP_MS);
    histogram.recordValue(waitedMs);
    for (const process of [...entries, ...agents]) process.effects.length = 0;
  }
  return { p50Ms: histogram.getValueAtPercentile(50), p99Ms: histogram.getValueAtPercentile(99) };
}

/** Time until a change is in force everywhere, and what an idle agent costs. */
export async function runConfigurationBench(seed: number): Promise<BenchReport> {
  const baseline = measureInForce(seed, false);
  const chosen = measureInForce(seed, true);
  const agent = await measureIdleAgent();
  return {
    name: 'configuration',
    seed,
    rows: [
      createUpperBoundRow('in force everywhere p50, ms', chosen.p50Ms, null, baseline.p50Ms),
      createUpperBoundRow(
        'in force everywhere p99, ms',
        chosen.p99Ms,
        TARGET_IN_FORCE_MS,
        baseline.p99Ms,
      ),
      createUpperBoundRow('idle agent memory, MB', agent.residentMb, TARGET_MEMORY_MB),
      createUpperBoundRow('idle agent processor, %', agent.cpuPercent, TARGET_CPU_PERCENT),
      createUpperBoundRow(
        'idle agent control traffic, bytes/s',
        agent.bytesPerSecond,
        TARGET_BYTES_PER_SECOND,
      ),
    ],
    notes: [
      `${ENTRIES} entries, ${AGENTS} agents, ${CHANGES} changes, ${LOSS * 100} % of messages lost, ${DELAY_MS} ms each way, manual clock; a lost message is not resent by the link`,
      'baseline: entries read the configuration every second without a watch',
      `idle agent: its own bundle as a process, one endpoint, no worker, ${agent.seconds} s over loopback sockets; bytes are TCP payload of both directions without TCP and IP headers`,
    ],
  };
}
