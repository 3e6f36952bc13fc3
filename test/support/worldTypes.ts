import type { Loop } from '../../src/base/common/loop.ts';
import type { AgentState } from '../../src/model/agentState.ts';
import type {
  AgentArrival,
  AgentEffect,
  EntryArrival,
  EntryEffect,
} from '../../src/model/effects.ts';
import type { EntryState } from '../../src/model/entryState.ts';
import type { MemoryWorker } from '../../src/standins/memoryWorker.ts';

export interface SimEntry {
  readonly id: string;
  readonly address: string;
  state: EntryState;
  loop: Loop<EntryArrival, EntryEffect, EntryState>;
  isPaused: boolean;
  isDead: boolean;
}

export interface SimAgent {
  readonly id: string;
  readonly zone: string;
  readonly worker: MemoryWorker;
  state: AgentState;
  loop: Loop<AgentArrival, AgentEffect, AgentState>;
  isCut: boolean;
}

export interface WorldOptions {
  readonly seed?: number;
  readonly entries?: number;
  readonly workers?: number;
  readonly graceMs?: number;
  readonly workMs?: number;
}
