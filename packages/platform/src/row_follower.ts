import type { Changes, Json } from "./table.ts";

/** One row as last seen. */
export interface FollowedRow {
  readonly version: number;
  readonly value: Json;
}

/**
 * The rows of one table as far as its changes were seen. Answers that are
 * older than what is known change nothing: a store may serve old reads.
 */
export class RowFollower {
  readonly #rows = new Map<string, FollowedRow>();
  /** Versions at which rows were removed, kept until the next full read. */
  readonly #removed = new Map<string, number>();
  #after: number | null = null;
  #version = 0;

  /** Version to ask after; `null` when all rows have to be read. */
  get after(): number | null {
    return this.#after;
  }

  /** The rows by key. */
  get rows(): ReadonlyMap<string, FollowedRow> {
    return this.#rows;
  }

  /** Takes an answer; returns whether any row changed. */
  take(changes: Changes): boolean {
    if (changes.lost) {
      this.#after = null;
      return false;
    }
    const changed = this.#after === null
      ? this.#replace(changes)
      : this.#apply(changes);
    this.#version = Math.max(this.#version, changes.version);
    this.#after = this.#version;
    return changed;
  }

  #apply({ rows }: Changes): boolean {
    let changed = false;
    for (const { key, version, value } of rows) {
      const known = this.#rows.get(key)?.version ?? this.#removed.get(key) ?? 0;
      if (version <= known) {
        continue;
      }
      changed = true;
      this.#removed.delete(key);
      if (value === null) {
        this.#rows.delete(key);
        this.#removed.set(key, version);
      } else {
        this.#rows.set(key, { version, value });
      }
    }
    return changed;
  }

  /** A full read that is older than what is known is no news at all. */
  #replace(changes: Changes): boolean {
    if (changes.version < this.#version) {
      return false;
    }
    const keys = new Set(changes.rows.map(({ key }) => key));
    let changed = false;
    for (const key of [...this.#rows.keys()]) {
      if (!keys.has(key)) {
        this.#rows.delete(key);
        changed = true;
      }
    }
    this.#removed.clear();
    return this.#apply(changes) || changed;
  }
}
