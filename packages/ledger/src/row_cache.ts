import type { CommitResult, Row, Table, Write } from "@lavenderferry/platform";

const maxRows = 32;

/**
 * Caches the rows that this process wrote last, to save reads.
 * If another process changed a row, the next commit conflicts, and the row is
 * read again.
 */
export class RowCache {
  readonly #table: Table;
  readonly #rows = new Map<string, Row>();

  constructor(table: Table) {
    this.#table = table;
  }

  /** Returns rows from the cache and reads those that are missing. */
  async read(keys: readonly string[]): Promise<readonly (Row | null)[]> {
    const missing = keys.filter((key) => !this.#rows.has(key));
    const read = missing.length === 0
      ? []
      : await this.#table.read(missing, "cost");
    const found = new Map(missing.map((key, index) => [key, read[index]]));
    return keys.map((key) => this.#rows.get(key) ?? found.get(key) ?? null);
  }

  /** Commits writes; the rows stay cached only if the commit succeeds. */
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
      this.#evictOldest();
    }
    return result.kind;
  }

  #evictOldest(): void {
    for (const oldest of this.#rows.keys()) {
      if (this.#rows.size <= maxRows) {
        return;
      }
      this.#rows.delete(oldest);
    }
  }
}
