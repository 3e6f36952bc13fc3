/** A counter value with its name and labels, for example refusals by reason. */
export interface CounterSample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** Labelled counters of a process, incremented by systems and listed on the metrics page. */
export class Counters {
  private readonly samples = new Map<
    string,
    { name: string; labels: Readonly<Record<string, string>>; value: number }
  >();

  private constructor() {
    // Built by create().
  }

  static create(): Counters {
    return new Counters();
  }

  add(name: string, labels: Readonly<Record<string, string>> = {}, amount = 1): void {
    const key = `${name}|${Object.entries(labels).flat().join('|')}`;
    const sample = this.samples.get(key);
    if (sample === undefined) this.samples.set(key, { name, labels, value: amount });
    else sample.value += amount;
  }

  /** Returns the sum of all samples of a name that have the given labels. */
  get(name: string, labels?: Readonly<Record<string, string>>): number {
    let total = 0;
    for (const sample of this.samples.values()) {
      if (sample.name !== name) continue;
      const matches = Object.entries(labels ?? {}).every(
        ([label, value]) => sample.labels[label] === value,
      );
      if (matches) total += sample.value;
    }
    return total;
  }

  list(): CounterSample[] {
    return [...this.samples.values()].map((sample) => ({ ...sample }));
  }
}
