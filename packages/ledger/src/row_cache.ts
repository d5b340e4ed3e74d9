import type { CommitResult, Row, Table, Write } from "@lavenderferry/platform";

const maxRows = 32;

/**
 * Keeps the rows that this process wrote last, to spare reads.
 * A row that another process changed is found out by the conflict of the next
 * commit, after which it is read again.
 */
export class RowCache {
  readonly #table: Table;
  readonly #rows = new Map<string, Row>();

  constructor(table: Table) {
    this.#table = table;
  }

  /** Returns the rows as they were last seen, or reads them. */
  async read(keys: readonly string[]): Promise<readonly (Row | null)[]> {
    const missing = keys.filter((key) => !this.#rows.has(key));
    const read = missing.length === 0
      ? []
      : await this.#table.read(missing, "cost");
    const found = new Map(missing.map((key, index) => [key, read[index]]));
    return keys.map((key) => this.#rows.get(key) ?? found.get(key) ?? null);
  }

  /** Commits; the rows are forgotten unless they are known to be written. */
  async commit(writes: readonly Write[]): Promise<CommitResult["kind"]> {
    for (const { key } of writes) {
      this.#rows.delete(key);
    }
    const result = await this.#table.commit(writes, "cost");
    if (result.kind === "committed") {
      for (const [index, { key, value }] of writes.entries()) {
        const version = result.versions[index] ?? 0;
        this.#rows.set(key, { key, version, value });
      }
      this.#trim();
    }
    return result.kind;
  }

  #trim(): void {
    for (const oldest of this.#rows.keys()) {
      if (this.#rows.size <= maxRows) {
        return;
      }
      this.#rows.delete(oldest);
    }
  }
}
