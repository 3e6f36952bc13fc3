import { SeededRandom } from '../../src/base/common/seededRandom.ts';
import { BOUNDS } from '../support/worldNodes.ts';
import { SOAK_BOUNDS } from './bounds.ts';
import type { FrontAddress } from './callers.ts';
import { SoakCallers } from './callers.ts';
import type { SoakParts } from './faultInjector.ts';
import type { SoakHistory } from './history.ts';
import { SPECIAL_LABEL } from './jobs.ts';
import { Operator } from './operator.ts';
import { OtherWriter } from './otherWriter.ts';
import { SoakNetwork } from './soakNetwork.ts';
import { getLeaseMaxMs } from './soakPlan.ts';
import { SoakProcess } from './soakProcess.ts';
import { StoreStandIn } from './storeStandIn.ts';
import { WorkerSlot } from './workerSlot.ts';

const FRONT_PORT = 7_301;
const READY_PORT = 7_302;
const BEAT_PORT = 7_303;
const WORKER_PORT = 7_304;
const CALLERS = 'callers';
export const ZONES = ['a', 'b', 'c'];
const WORKER_CORES = [8, 16];
const WORKER_MEMORY_MB = 16_000;
/** One worker in so many has the label that some steps require. */
const LABEL_EVERY = 3;

export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults begin, s. */
  readonly seconds: number;
  readonly entries: number;
  readonly agents: number;
  /** Where settings and logs go. */
  readonly folder: string;
  /** Folder of the bundles of the programs. */
  readonly bundles: string;
}

export interface StartedSoak extends SoakParts {
  readonly otherWriter: OtherWriter;
  readonly entries: readonly string[];
  readonly agents: readonly string[];
  readonly fronts: readonly FrontAddress[];
}

/** Builds the stand-ins, the proxies and the processes of a soak; nothing runs yet. */
export async function createSoakParts(
  options: SoakOptions,
  history: SoakHistory,
  random: SeededRandom,
): Promise<StartedSoak> {
  const network = SoakNetwork.create(process.pid + options.seed);
  const store = StoreStandIn.create(random, network);
  const entries = listNames('entry', options.entries);
  const agents = listNames('agent', options.agents);
  const processes = new Map<string, SoakProcess>();
  const workers = new Map<string, WorkerSlot>();
  const fronts: FrontAddress[] = [];
  const addProcess = async (
    name: string,
    role: string,
    zone: string,
    more: object,
  ): Promise<void> => {
    const port = await store.open(name, network.storeHost);
    const settings = {
      id: name,
      zone,
      host: network.getHost(name),
      linkPort: network.linkPort,
      storeAddress: await network.open(name, 'store', network.storeHost, port),
      ...more,
    };
    const bundle = `${options.bundles}/${role}.mjs`;
    processes.set(
      name,
      SoakProcess.create(name, bundle, settings, options.folder, history, (isUp) => {
        setReachable(network, name, isUp);
      }),
    );
  };
  for (const [index, name] of entries.entries()) {
    const host = network.getHost(name);
    await addProcess(name, 'entry', getZone(index), {
      zones: ZONES,
      callerAddress: `${host}:${FRONT_PORT}`,
      readyAddress: `${host}:${READY_PORT}`,
      bounds: { ...BOUNDS, holdMaxMs: getLeaseMaxMs(options.seed), stopMs: SOAK_BOUNDS.stopMs },
    });
    fronts.push({
      process: name,
      address: await network.open(CALLERS, name, host, FRONT_PORT),
      readyAddress: `${host}:${READY_PORT}`,
    });
    for (const other of [...entries, ...agents])
      if (other !== name) await network.openLink(name, other);
  }
  for (const [index, name] of agents.entries()) {
    const host = network.getHost(name);
    await addProcess(name, 'agent', getZone(index), { beatAddress: `${host}:${BEAT_PORT}` });
    const worker = name.replace('agent', 'worker');
    const workerOptions = {
      agent: name,
      zone: getZone(index),
      host,
      port: WORKER_PORT,
      address: await network.open(name, worker, host, WORKER_PORT),
      beatAddress: await network.open(worker, name, host, BEAT_PORT),
      cpuMillis: 1_000 * (WORKER_CORES[index % WORKER_CORES.length] ?? 0),
      memoryMb: WORKER_MEMORY_MB,
      labels: index % LABEL_EVERY === 0 ? [SPECIAL_LABEL] : [],
    };
    workers.set(
      worker,
      WorkerSlot.create(worker, workerOptions, history, random, (isUp) => {
        setReachable(network, worker, isUp);
      }),
    );
  }
  // Random numbers of their own, so that the choices of the others stay those of the seed. Another seed
  // than theirs keeps the ids of the jobs apart.
  const lastingRandom = SeededRandom.create(-1 - options.seed);
  const otherRandom = SeededRandom.create(options.seed);
  const callers = SoakCallers.create(fronts, history, random, lastingRandom);
  const operator = Operator.create(store, history);
  const otherWriter = OtherWriter.create(store, [...workers.values()], otherRandom);
  return {
    network,
    store,
    processes,
    workers,
    callers,
    operator,
    otherWriter,
    entries,
    agents,
    fronts,
  };
}

/** A port without a listener refuses connections. */
function setReachable(network: SoakNetwork, name: string, isUp: boolean): void {
  for (const proxy of network.listTo(name)) {
    if (isUp) proxy.accept();
    else proxy.refuse();
  }
}

function listNames(kind: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${kind}-${index + 1}`);
}

function getZone(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}
