import type {
  CommitResult,
  Json,
  Row,
  ScanOptions,
  Table,
  Write,
} from "./table.ts";

const defaultScanLimit = 1_000;

/** In-memory table with the semantics of the platform's. */
export class MemoryTable implements Table {
  readonly #rows = new Map<string, Row>();
  #era = 0;

  get era(): number {
    return this.#era;
  }

  /** Returns a copy of all rows, for `restore`. */
  copy(): readonly Row[] {
    return [...this.#rows.values()];
  }

  /** Replaces all rows by those of an older copy, in a new era. */
  restore(copy: readonly Row[]): void {
    this.#era += 1;
    this.#rows.clear();
    for (const row of copy) {
      this.#rows.set(row.key, row);
    }
  }

  read(keys: readonly string[]): Promise<readonly (Row | null)[]> {
    return Promise.resolve(keys.map((key) => this.#rows.get(key) ?? null));
  }

  scan(
    prefix: string,
    _priority: unknown,
    options: ScanOptions = {},
  ): Promise<readonly Row[]> {
    const after = options.after ?? "";
    const rows = [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix) && row.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return Promise.resolve(rows.slice(0, options.limit ?? defaultScanLimit));
  }

  commit(writes: readonly Write[]): Promise<CommitResult> {
    const rows = writes.map((write) => this.#rows.get(write.key) ?? null);
    const conditionsHold = writes.every((write, index) =>
      (rows[index]?.version ?? null) === write.ifVersion
    );
    if (!conditionsHold) {
      return Promise.resolve({ kind: "conflict", rows });
    }
    const versions = writes.map((write) => this.#apply(write));
    return Promise.resolve({ kind: "committed", versions });
  }

  #apply({ key, ifVersion, value }: Write): number {
    const version = (ifVersion ?? 0) + 1;
    if (value === null) {
      this.#rows.delete(key);
    } else {
      this.#rows.set(key, {
        key,
        version,
        value: structuredClone(value) as Json,
      });
    }
    return version;
  }
}
