import type { Invariant, Step } from './explorer.ts';
import { Model } from './explorer.ts';

const AGENTS = [0, 1] as const;
const MAX_ATTEMPTS = 2;
const MAX_COPIES = 2;

type Outcome = 'none' | 'working' | 'notRun' | 'unknown' | 'answered' | 'lost';

/** One sending of the request by the caller, to the entry with the same number. */
interface Sending {
  outcome: Outcome;
  hasClaim: boolean;
  /** Number of the attempt in progress; 0 when there is none. */
  attempt: number;
  agent: number;
  /** Boot of the agent that the attempt is addressed to. */
  boot: number;
  /** Copies of the attempt that were sent. */
  copies: number;
  attempts: number;
}

interface Copy {
  sending: number;
  attempt: number;
  agent: number;
  boot: number;
}

interface AgentRecord {
  sending: number;
  attempt: number;
  phase: 'running' | 'done' | 'rejected';
}

interface Answer {
  sending: number;
  attempt: number;
  kind: 'response' | 'rejected' | 'restarted';
}

export interface RequestState {
  sendings: Sending[];
  key: { phase: 'free' | 'claimed' | 'answered' | 'unknown'; by: number };
  agents: { boot: number; records: AgentRecord[] }[];
  copies: Copy[];
  answers: Answer[];
  /** How often the endpoint ran the request, and for which sendings. */
  runs: number;
  ranFor: number[];
  canRestart: boolean;
  canCrash: boolean;
  canBeBusy: boolean;
}

/** The rules for a non-idempotent request with an idempotency key. Variants break one rule each. */
export abstract class RequestRules {
  abstract readonly name: string;

  /** Whether the entry may try again after this answer to a copy. */
  canRetry(answer: Answer['kind'], copies: number): boolean {
    return answer === 'rejected' && copies >= 1;
  }

  /** Whether an agent keeps a rejection, so that a late copy of the attempt cannot run. */
  keepsRejections(): boolean {
    return true;
  }

  /** Whether a copy that is addressed to an earlier boot is turned away. */
  checksBoot(): boolean {
    return true;
  }

  /** Whether a sending without a claim may be dispatched. */
  needsClaim(): boolean {
    return true;
  }

  /** Whether the agent answers a second copy from its record. */
  joinsCopies(): boolean {
    return true;
  }
}

/** Every rule as it should be. */
export class CorrectRequestRules extends RequestRules {
  override readonly name = 'correct';
}

/** A caller that resends, two entries, a key replica and two agents. */
export class RequestProtocol extends Model<RequestState> {
  override readonly name = 'request protocol';

  override readonly invariants: readonly Invariant<RequestState>[] = [
    { name: 'a non-idempotent request runs at most once', isHeld: (state) => state.runs <= 1 },
    {
      name: 'a refusal that says "not run" is true',
      isHeld: (state) =>
        state.sendings.every(
          (sending, index) => sending.outcome !== 'notRun' || !state.ranFor.includes(index),
        ),
    },
    {
      name: 'an answer belongs to a run',
      isHeld: (state) =>
        state.sendings.every((sending) => sending.outcome !== 'answered' || state.runs === 1),
    },
  ];

  private constructor(private readonly rules: RequestRules) {
    super();
  }

  static create(rules: RequestRules): RequestProtocol {
    return new RequestProtocol(rules);
  }

  override createInitial(): RequestState {
    const sending: Sending = {
      outcome: 'none',
      hasClaim: false,
      attempt: 0,
      agent: 0,
      boot: 0,
      copies: 0,
      attempts: 0,
    };
    return {
      sendings: [{ ...sending, outcome: 'working' }, sending],
      key: { phase: 'free', by: -1 },
      agents: AGENTS.map(() => ({ boot: 0, records: [] })),
      copies: [],
      answers: [],
      runs: 0,
      ranFor: [],
      canRestart: true,
      canCrash: true,
      canBeBusy: true,
    };
  }

  override isDone(state: RequestState): boolean {
    return state.sendings.every((sending) => sending.outcome !== 'working');
  }

  override listSteps(state: RequestState): Step<RequestState>[] {
    const steps: Step<RequestState>[] = [];
    const add = (label: string, change: (next: RequestState) => void): void => {
      const next = JSON.parse(JSON.stringify(state)) as RequestState;
      change(next);
      steps.push({ label, state: next });
    };
    if (state.sendings[1]?.outcome === 'none')
      add(
        'caller sends the request again, to entry 1',
        (next) => void (getSending(next, 1).outcome = 'working'),
      );
    state.sendings.forEach((sending, index) => {
      if (sending.outcome === 'working') this.addEntrySteps(state, sending, index, add);
    });
    state.copies.forEach((copy, index) => {
      add(`copy of attempt ${copy.sending}.${copy.attempt} reaches agent ${copy.agent}`, (next) => {
        this.receiveCopy(next, index, false);
      });
      if (state.canBeBusy)
        add(
          `copy of attempt ${copy.sending}.${copy.attempt} finds agent ${copy.agent} busy`,
          (next) => {
            this.receiveCopy(next, index, true);
          },
        );
    });
    state.answers.forEach((answer, index) => {
      add(
        `answer ${answer.kind} to attempt ${answer.sending}.${answer.attempt} reaches entry ${answer.sending}`,
        (next) => {
          this.receiveAnswer(next, index);
        },
      );
      add(
        `answer ${answer.kind} to attempt ${answer.sending}.${answer.attempt} is lost`,
        (next) => void next.answers.splice(index, 1),
      );
    });
    state.agents.forEach((agent, index) => {
      for (const [at, record] of agent.records.entries()) {
        if (record.phase === 'running')
          add(
            `endpoint of agent ${index} answers attempt ${record.sending}.${record.attempt}`,
            (next) => {
              finishRun(next, index, at);
            },
          );
      }
      if (state.canRestart) {
        add(`agent ${index} restarts`, (next) => {
          next.agents[index] = { boot: agent.boot + 1, records: [] };
          next.canRestart = false;
        });
      }
    });
    return steps;
  }

  private addEntrySteps(state: RequestState, sending: Sending, index: number, add: AddStep): void {
    if (state.canCrash) {
      add(`entry ${index} dies`, (next) => {
        getSending(next, index).outcome = 'lost';
        next.canCrash = false;
      });
    }
    if (this.rules.needsClaim() && !sending.hasClaim) {
      add(`entry ${index} claims the key`, (next) => {
        claimKey(next, index);
      });
      return;
    }
    if (sending.attempt === 0 && sending.attempts < MAX_ATTEMPTS) {
      for (const agent of AGENTS)
        add(`entry ${index} sends an attempt to agent ${agent}`, (next) => {
          sendAttempt(next, index, agent);
        });
    }
    if (sending.attempt === 0 && sending.attempts >= MAX_ATTEMPTS)
      add(`entry ${index} refuses: not run`, (next) => {
        settle(next, index, 'notRun');
      });
    if (sending.attempt > 0 && sending.copies < MAX_COPIES) {
      add(
        `link of entry ${index} breaks; it sends attempt ${index}.${sending.attempt} again`,
        (next) => {
          sendCopy(next, index);
        },
      );
    }
    if (sending.attempt > 0)
      add(`entry ${index} gives up: outcome unknown`, (next) => {
        settle(next, index, 'unknown');
      });
  }

  private receiveCopy(next: RequestState, at: number, isBusy: boolean): void {
    const [copy] = next.copies.splice(at, 1);
    const agent = copy === undefined ? undefined : next.agents[copy.agent];
    if (copy === undefined || agent === undefined) return;
    const { sending, attempt } = copy;
    const known = agent.records.find(
      (record) => record.sending === sending && record.attempt === attempt,
    );
    if (known !== undefined && this.rules.joinsCopies()) {
      if (known.phase === 'done') next.answers.push({ sending, attempt, kind: 'response' });
      if (known.phase === 'rejected') next.answers.push({ sending, attempt, kind: 'rejected' });
      return;
    }
    if (copy.boot !== agent.boot && this.rules.checksBoot()) {
      next.answers.push({ sending, attempt, kind: 'restarted' });
      return;
    }
    if (isBusy) {
      next.canBeBusy = false;
      if (this.rules.keepsRejections()) agent.records.push({ sending, attempt, phase: 'rejected' });
      next.answers.push({ sending, attempt, kind: 'rejected' });
      return;
    }
    agent.records.push({ sending, attempt, phase: 'running' });
    next.runs += 1;
    if (!next.ranFor.includes(sending)) next.ranFor.push(sending);
  }

  private receiveAnswer(next: RequestState, at: number): void {
    const [answer] = next.answers.splice(at, 1);
    if (answer === undefined) return;
    const sending = getSending(next, answer.sending);
    if (sending.outcome !== 'working' || sending.attempt !== answer.attempt) return;
    if (answer.kind === 'response') settle(next, answer.sending, 'answered');
    else if (this.rules.canRetry(answer.kind, sending.copies)) sending.attempt = 0;
    else settle(next, answer.sending, 'unknown');
  }
}

type AddStep = (label: string, change: (next: RequestState) => void) => void;

function getSending(state: RequestState, index: number): Sending {
  const sending = state.sendings[index];
  if (sending === undefined) throw new Error(`no sending ${index}`);
  return sending;
}

function claimKey(next: RequestState, index: number): void {
  const sending = getSending(next, index);
  if (next.key.phase === 'free') {
    next.key = { phase: 'claimed', by: index };
    sending.hasClaim = true;
  } else if (next.key.phase === 'answered') sending.outcome = 'answered';
  else sending.outcome = 'unknown';
}

function sendAttempt(next: RequestState, index: number, agent: number): void {
  const sending = getSending(next, index);
  sending.attempts += 1;
  Object.assign(sending, {
    attempt: sending.attempts,
    agent,
    boot: next.agents[agent]?.boot ?? 0,
    copies: 0,
  });
  sendCopy(next, index);
}

function sendCopy(next: RequestState, index: number): void {
  const sending = getSending(next, index);
  sending.copies += 1;
  next.copies.push({
    sending: index,
    attempt: sending.attempt,
    agent: sending.agent,
    boot: sending.boot,
  });
}

function finishRun(next: RequestState, agent: number, at: number): void {
  const record = next.agents[agent]?.records[at];
  if (record === undefined) return;
  record.phase = 'done';
  next.answers.push({ sending: record.sending, attempt: record.attempt, kind: 'response' });
}

/** Ends a sending and notifies the key replica; a refusal "not run" frees the key. */
function settle(
  next: RequestState,
  index: number,
  outcome: 'notRun' | 'unknown' | 'answered',
): void {
  const sending = getSending(next, index);
  Object.assign(sending, { outcome, attempt: 0 });
  if (!sending.hasClaim) return;
  sending.hasClaim = false;
  next.key = outcome === 'notRun' ? { phase: 'free', by: -1 } : { phase: outcome, by: index };
}
