import type { StoreVersion } from "./store_version.ts";
import type { Changes, Json } from "./table.ts";

/** Latest version and value of a row that a follower has received. */
export interface FollowedRow {
  readonly version: StoreVersion;
  readonly value: Json;
}

/**
 * Copy of one table's rows, kept up to date from its change feed. Ignores
 * outdated answers, since a store may serve stale reads.
 */
export class RowFollower {
  readonly #rows = new Map<string, FollowedRow>();
  /** Versions at which rows were removed, kept until the next full read. */
  readonly #removed = new Map<string, StoreVersion>();
  #after: StoreVersion | null = null;
  #version: StoreVersion = 0;

  /** Version to request changes after; `null` when all rows must be read. */
  get after(): StoreVersion | null {
    return this.#after;
  }

  /** Version of the table that the rows correspond to. */
  get version(): StoreVersion {
    return this.#version;
  }

  /** The rows by key. */
  get rows(): ReadonlyMap<string, FollowedRow> {
    return this.#rows;
  }

  /** Applies an answer of the change feed; returns whether any row changed. */
  applyChanges(changes: Changes): boolean {
    if (changes.lost) {
      this.#after = null;
      return false;
    }
    const changed = this.#after === null
      ? this.#replaceRows(changes)
      : this.#applyRows(changes);
    this.#version = Math.max(this.#version, changes.version);
    this.#after = this.#version;
    return changed;
  }

  #applyRows({ rows }: Changes): boolean {
    let changed = false;
    for (const { key, version, value } of rows) {
      const knownVersion = this.#rows.get(key)?.version ??
        this.#removed.get(key) ?? 0;
      if (version <= knownVersion) {
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

  /** Replaces all rows, unless the full read is older than the copy. */
  #replaceRows(changes: Changes): boolean {
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
    return this.#applyRows(changes) || changed;
  }
}
