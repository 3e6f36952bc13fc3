/** One possible step of a model. */
export interface Step<State> {
  readonly label: string;
  readonly state: State;
}

/** A promise that holds in every reachable state. */
export interface Invariant<State> {
  readonly name: string;
  readonly isHeld: (state: State) => boolean;
}

/** A protocol as a finite state machine. States are plain JSON values. */
export abstract class Model<State> {
  abstract readonly name: string;
  abstract readonly invariants: readonly Invariant<State>[];
  abstract createInitial(): State;
  abstract listSteps(state: State): Step<State>[];
  /** Whether the work is done; from every reachable state such a state must be reachable. */
  abstract isDone(state: State): boolean;
}

/** A violated promise with a shortest way to it. */
export interface Violation {
  readonly promise: string;
  readonly trace: readonly string[];
  /** The state at the end of the trace, as JSON. */
  readonly state: string;
}

export interface Exploration {
  readonly model: string;
  readonly states: number;
  readonly steps: number;
  /** Largest distance of a state from the initial one. */
  readonly depth: number;
  readonly violation: Violation | undefined;
}

interface Node {
  readonly parent: number;
  readonly label: string;
  readonly depth: number;
}

/** Explores every state of a model breadth first and checks its promises. */
export class Explorer<State> {
  private readonly ids = new Map<string, number>();
  private readonly states: State[] = [];
  private readonly nodes: Node[] = [];
  private readonly predecessors: number[][] = [];
  private readonly doneIds: number[] = [];
  private steps = 0;

  private constructor(private readonly model: Model<State>) {}

  static create<State>(model: Model<State>): Explorer<State> {
    return new Explorer(model);
  }

  /** Explores until a promise fails or no state is left. Throws when the bound on states is passed. */
  run(maxStates: number): Exploration {
    this.add(this.model.createInitial(), -1, 'start');
    for (let id = 0; id < this.states.length; id += 1) {
      if (this.states.length > maxStates)
        throw new Error(`${this.model.name} has more than ${maxStates} states`);
      const state = this.states[id] as State;
      const broken = this.model.invariants.find((invariant) => !invariant.isHeld(state));
      if (broken !== undefined)
        return this.report({
          promise: broken.name,
          trace: this.listTrace(id),
          state: JSON.stringify(state),
        });
      if (this.model.isDone(state)) this.doneIds.push(id);
      for (const step of this.model.listSteps(state)) {
        this.steps += 1;
        this.predecessors[this.add(step.state, id, step.label)]?.push(id);
      }
    }
    return this.report(this.findStuck());
  }

  /** The labels and states along the shortest way to a state, for replays. */
  listTrace(id: number): string[] {
    const trace: string[] = [];
    for (let at = id; at > 0; at = this.nodes[at]?.parent ?? 0)
      trace.unshift(this.nodes[at]?.label ?? '');
    return trace;
  }

  /** Shortest traces to the first states that satisfy the predicate, at most `limit`. */
  findTraces(matches: (state: State) => boolean, limit: number): string[][] {
    const found: string[][] = [];
    for (let id = 0; id < this.states.length && found.length < limit; id += 1) {
      if (matches(this.states[id] as State)) found.push(this.listTrace(id));
    }
    return found;
  }

  private add(state: State, parent: number, label: string): number {
    const key = JSON.stringify(state);
    const known = this.ids.get(key);
    if (known !== undefined) return known;
    const id = this.states.length;
    this.ids.set(key, id);
    this.states.push(state);
    this.nodes.push({ parent, label, depth: (this.nodes[parent]?.depth ?? -1) + 1 });
    this.predecessors.push([]);
    return id;
  }

  /** Finds a state from which the work can no longer be done, by walking back from the done states. */
  private findStuck(): Violation | undefined {
    const canFinish = new Uint8Array(this.states.length);
    const queue = [...this.doneIds];
    for (const id of queue) canFinish[id] = 1;
    for (let id = queue.pop(); id !== undefined; id = queue.pop()) {
      for (const before of this.predecessors[id] ?? []) {
        if (canFinish[before] === 1) continue;
        canFinish[before] = 1;
        queue.push(before);
      }
    }
    const stuck = canFinish.indexOf(0);
    return stuck < 0
      ? undefined
      : {
          promise: 'progress',
          trace: this.listTrace(stuck),
          state: JSON.stringify(this.states[stuck]),
        };
  }

  private report(violation: Violation | undefined): Exploration {
    const depth = this.nodes.reduce((max, node) => Math.max(max, node.depth), 0);
    return {
      model: this.model.name,
      states: this.states.length,
      steps: this.steps,
      depth,
      violation,
    };
  }
}

/** Renders an exploration as text: the counts and, for a violation, the numbered trace. */
export function formatExploration(result: Exploration): string {
  const head = `${result.model}: ${result.states} states, ${result.steps} steps, depth ${result.depth}`;
  if (result.violation === undefined) return `${head}, every promise holds`;
  const lines = result.violation.trace.map((label, index) => `  ${index + 1}. ${label}`);
  return [
    `${head}, violated: ${result.violation.promise}`,
    ...lines,
    `  state: ${result.violation.state}`,
  ].join('\n');
}
