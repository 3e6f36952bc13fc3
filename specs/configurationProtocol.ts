import type { Invariant, Step } from './explorer.ts';
import { Model } from './explorer.ts';

const MAX_REVISION = 3;

/** Text of an operator's edit; each operator edits once. */
type Author = 0 | 1;

interface Operator {
  phase: 'idle' | 'editing' | 'writing' | 'inDoubt' | 'accepted' | 'conflict';
  base: number;
}

interface Reader {
  revision: number;
  /** Revisions in answers that are on their way from any source. */
  answers: number[];
}

export interface ConfigurationState {
  /** Author of each accepted revision, in order; the length is the revision. */
  accepted: Author[];
  operators: Operator[];
  /** Writes on their way: author and expected revision. */
  sent: { author: Author; base: number }[];
  readers: Reader[];
  /** Set when a reader goes back to an older revision. */
  hasReverted: boolean;
}

/** The rules for accepting and spreading a configuration. Variants break one rule each. */
export abstract class ConfigurationRules {
  abstract readonly name: string;

  isWriteAccepted(current: number, base: number): boolean {
    return current === base;
  }

  isAnswerApplied(inForce: number, answered: number): boolean {
    return answered > inForce;
  }

  /** Whether an operator in doubt looks for its own write before it says anything. */
  readsBack(): boolean {
    return true;
  }
}

/** Every rule as it should be. */
export class CorrectConfigurationRules extends ConfigurationRules {
  override readonly name = 'correct';
}

/** Two operators that race, and two processes that hear several sources late and out of order. */
export class ConfigurationProtocol extends Model<ConfigurationState> {
  override readonly name = 'configuration protocol';

  override readonly invariants: readonly Invariant<ConfigurationState>[] = [
    { name: 'an accepted configuration never reverts', isHeld: (state) => !state.hasReverted },
    {
      name: 'an edit is accepted at most once',
      isHeld: (state) =>
        state.accepted.filter((author) => author === 0).length <= 1 &&
        state.accepted.filter((author) => author === 1).length <= 1,
    },
    {
      name: 'an operator is told the truth',
      isHeld: (state) =>
        state.operators.every((operator, author) => {
          const isIn = state.accepted.includes(author as Author);
          return operator.phase === 'accepted' ? isIn : operator.phase !== 'conflict' || !isIn;
        }),
    },
  ];

  private constructor(private readonly rules: ConfigurationRules) {
    super();
  }

  static create(rules: ConfigurationRules): ConfigurationProtocol {
    return new ConfigurationProtocol(rules);
  }

  override createInitial(): ConfigurationState {
    return {
      accepted: [],
      operators: [0, 1].map(() => ({ phase: 'idle', base: 0 })),
      sent: [],
      readers: [0, 1].map(() => ({ revision: 0, answers: [] })),
      hasReverted: false,
    };
  }

  override isDone(state: ConfigurationState): boolean {
    const isSettled = state.operators.every(
      (operator) => operator.phase === 'accepted' || operator.phase === 'conflict',
    );
    return isSettled && state.readers.every((reader) => reader.revision === state.accepted.length);
  }

  override listSteps(state: ConfigurationState): Step<ConfigurationState>[] {
    const steps: Step<ConfigurationState>[] = [];
    const add = (label: string, change: (next: ConfigurationState) => void): void => {
      const next = JSON.parse(JSON.stringify(state)) as ConfigurationState;
      change(next);
      steps.push({ label, state: next });
    };
    state.operators.forEach((operator, author) => {
      this.addOperatorSteps(operator, author as Author, add);
    });
    state.sent.forEach((write, at) => {
      add(`write of operator ${write.author} reaches the store`, (next) => {
        this.deliver(next, at);
      });
    });
    state.readers.forEach((reader, index) => {
      if (reader.answers.length < 2)
        add(
          `a source answers reader ${index}`,
          (next) => void next.readers[index]?.answers.push(next.accepted.length),
        );
      reader.answers.forEach((answered, at) => {
        add(`reader ${index} receives revision ${answered}`, (next) => {
          this.receiveAnswer(next, index, at);
        });
      });
    });
    return steps;
  }

  private addOperatorSteps(
    operator: Operator,
    author: Author,
    add: (label: string, change: (next: ConfigurationState) => void) => void,
  ): void {
    const change = (next: ConfigurationState, patch: Partial<Operator>): void =>
      void Object.assign(next.operators[author] ?? {}, patch);
    if (operator.phase === 'idle')
      add(`operator ${author} reads the tables`, (next) => {
        change(next, { phase: 'editing', base: next.accepted.length });
      });
    if (operator.phase === 'editing') {
      add(`operator ${author} applies an edit of revision ${operator.base}`, (next) => {
        change(next, { phase: 'writing' });
        next.sent.push({ author, base: operator.base });
      });
    }
    if (operator.phase === 'writing')
      add(`the answer to operator ${author} is lost`, (next) => {
        change(next, { phase: 'inDoubt' });
      });
    if (operator.phase === 'inDoubt')
      add(`operator ${author} reads back`, (next) => {
        this.resolveDoubt(next, author);
      });
  }

  private deliver(next: ConfigurationState, at: number): void {
    const [write] = next.sent.splice(at, 1);
    const operator = write === undefined ? undefined : next.operators[write.author];
    if (write === undefined || operator === undefined) return;
    const isIn = this.rules.isWriteAccepted(next.accepted.length, write.base);
    if (isIn && next.accepted.length < MAX_REVISION) next.accepted.push(write.author);
    if (operator.phase === 'writing') operator.phase = isIn ? 'accepted' : 'conflict';
  }

  private resolveDoubt(next: ConfigurationState, author: Author): void {
    const operator = next.operators[author];
    if (operator === undefined) return;
    const isOwnToken = next.accepted[operator.base] === author;
    if (!this.rules.readsBack()) {
      next.sent.push({ author, base: next.accepted.length });
      operator.phase = 'writing';
    } else if (isOwnToken) operator.phase = 'accepted';
    else if (next.accepted.length > operator.base) operator.phase = 'conflict';
    else {
      // Nobody has written since: the same write may be sent again, and at most one copy can succeed.
      if (!next.sent.some((write) => write.author === author))
        next.sent.push({ author, base: operator.base });
      operator.phase = 'writing';
    }
  }

  private receiveAnswer(next: ConfigurationState, index: number, at: number): void {
    const reader = next.readers[index];
    const answered = reader?.answers.splice(at, 1)[0];
    if (
      reader === undefined ||
      answered === undefined ||
      !this.rules.isAnswerApplied(reader.revision, answered)
    )
      return;
    if (answered < reader.revision) next.hasReverted = true;
    reader.revision = answered;
  }
}
