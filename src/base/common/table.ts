/** A row of a {@link Table}: anything with a string id that is unique in its table. */
export interface TableRow {
  readonly id: string;
}

/** A secondary index of a table: finds rows by a derived key. */
export class TableIndex<Row extends TableRow> {
  private readonly idsByKey = new Map<string, Set<string>>();

  private constructor(
    private readonly getKey: (row: Row) => string | undefined,
    private readonly rows: ReadonlyMap<string, Row>,
  ) {}

  static create<Row extends TableRow>(
    getKey: (row: Row) => string | undefined,
    rows: ReadonlyMap<string, Row>,
  ): TableIndex<Row> {
    const index = new TableIndex(getKey, rows);
    for (const row of rows.values()) index.add(row);
    return index;
  }

  /** Rows with the given key, in insertion order. */
  list(key: string): Row[] {
    const found: Row[] = [];
    for (const id of this.idsByKey.get(key) ?? []) {
      const row = this.rows.get(id);
      if (row !== undefined) found.push(row);
    }
    return found;
  }

  /** Returns the row that has had the given key for the longest time, in constant time. */
  getFirst(key: string): Row | undefined {
    for (const id of this.idsByKey.get(key) ?? []) return this.rows.get(id);
    return undefined;
  }

  /** Like {@link list}, one row at a time, for callers that stop early. */
  *values(key: string): Generator<Row> {
    for (const id of this.idsByKey.get(key) ?? []) {
      const row = this.rows.get(id);
      if (row !== undefined) yield row;
    }
  }

  count(key: string): number {
    return this.idsByKey.get(key)?.size ?? 0;
  }

  keys(): IterableIterator<string> {
    return this.idsByKey.keys();
  }

  get keyCount(): number {
    return this.idsByKey.size;
  }

  /** Called by the owning table only. */
  add(row: Row): void {
    const key = this.getKey(row);
    if (key === undefined) return;
    const ids = this.idsByKey.get(key);
    if (ids === undefined) this.idsByKey.set(key, new Set([row.id]));
    else ids.add(row.id);
  }

  /** Called by the owning table only. A row whose key stays the same keeps its position. */
  update(previous: Row, next: Row): void {
    if (this.getKey(previous) === this.getKey(next)) return;
    this.remove(previous);
    this.add(next);
  }

  /** Called by the owning table only. */
  remove(row: Row): void {
    const key = this.getKey(row);
    if (key === undefined) return;
    const ids = this.idsByKey.get(key);
    ids?.delete(row.id);
    if (ids?.size === 0) this.idsByKey.delete(key);
  }
}

/** Selects changes for a reader. An insert has no previous row and a removal has no next row. */
export type ChangeFilter<Row> = (previous: Row | undefined, next: Row | undefined) => boolean;

/**
 * All entities of one kind. Rows are immutable: an update replaces the row, so a reference taken
 * earlier in a tick keeps its values.
 */
export class Table<Row extends TableRow> {
  private readonly rows = new Map<string, Row>();
  private readonly indexes: TableIndex<Row>[] = [];
  private readonly changeSets: { ids: Set<string>; filter: ChangeFilter<Row> }[] = [];

  private constructor(readonly name: string) {}

  static create<Row extends TableRow>(name: string): Table<Row> {
    return new Table<Row>(name);
  }

  get size(): number {
    return this.rows.size;
  }

  get(id: string): Row | undefined {
    return this.rows.get(id);
  }

  has(id: string): boolean {
    return this.rows.has(id);
  }

  values(): IterableIterator<Row> {
    return this.rows.values();
  }

  /** A copy of the rows, for systems that change the table while they iterate. */
  list(): Row[] {
    return [...this.rows.values()];
  }

  /** Inserts the row, or replaces the row with the same id. */
  set(row: Row): void {
    const previous = this.rows.get(row.id);
    this.rows.set(row.id, row);
    for (const index of this.indexes) {
      if (previous === undefined) index.add(row);
      else index.update(previous, row);
    }
    this.recordChange(row.id, previous, row);
  }

  /** Replaces some fields of a row; returns the new row, or undefined when there is no such row. */
  update(id: string, patch: Partial<Omit<Row, 'id'>>): Row | undefined {
    const previous = this.rows.get(id);
    if (previous === undefined) return undefined;
    const next: Row = { ...previous, ...patch };
    this.set(next);
    return next;
  }

  remove(id: string): Row | undefined {
    const previous = this.rows.get(id);
    if (previous === undefined) return undefined;
    for (const index of this.indexes) index.remove(previous);
    this.rows.delete(id);
    this.recordChange(id, previous, undefined);
    return previous;
  }

  clear(): void {
    for (const id of [...this.rows.keys()]) this.remove(id);
  }

  /**
   * Returns a set that starts with the ids of all rows and collects the ids of rows that are set
   * or removed later. The reader deletes the ids that it has processed. With a filter, only the
   * changes that it accepts are collected.
   */
  addChangeSet(filter: ChangeFilter<Row> = () => true): Set<string> {
    const ids = new Set(this.rows.keys());
    this.changeSets.push({ ids, filter });
    return ids;
  }

  private recordChange(id: string, previous: Row | undefined, next: Row | undefined): void {
    for (const { ids, filter } of this.changeSets) if (filter(previous, next)) ids.add(id);
  }

  addIndex(getKey: (row: Row) => string | undefined): TableIndex<Row> {
    const index = TableIndex.create(getKey, this.rows);
    this.indexes.push(index);
    return index;
  }
}
