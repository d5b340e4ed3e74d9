import type { StoreVersion } from "./store_version.ts";

/** Any value that JSON can represent. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | { readonly [name: string]: Json | undefined };

/** One row of the table; its version grows with every write. */
export interface Row {
  readonly key: string;
  readonly version: StoreVersion;
  readonly value: Json;
}

/** A write that is applied only when the row has the expected version. */
export interface Write {
  readonly key: string;
  /** Version that the row must have; `null`: the row must not exist. */
  readonly ifVersion: StoreVersion | null;
  /** New value; `null` removes the row. */
  readonly value: Json;
}

/**
 * Result of a transaction, in the order of its writes: the new versions, or, on
 * a conflict, the present rows.
 */
export type CommitResult =
  | { readonly kind: "committed"; readonly versions: readonly StoreVersion[] }
  | { readonly kind: "conflict"; readonly rows: readonly (Row | null)[] };

/** Range and size of one scan. */
export interface ScanOptions {
  /** Only keys after this one. */
  readonly after?: string;
  readonly limit?: number;
}

/** Priorities of queued operations; the highest is sent first. */
export const priorities = {
  bookings: 40,
  leases: 30,
  configuration: 20,
  cost: 10,
  reports: 0,
} as const;

/** A key of `priorities`. */
export type Priority = keyof typeof priorities;

/**
 * The platform's transactional table.
 * Failures have the kind `store_unavailable`; their `notRun` is `unknown` when
 * a commit may have been applied.
 */
export interface Table {
  /**
   * Era of the table: how often it was restored from an older copy, which
   * loses its latest transactions and counts versions from those of the copy.
   */
  readonly era: number;
  /** Reads rows by key; a row that does not exist is `null`. */
  read(keys: readonly string[], priority: Priority): Promise<
    readonly (Row | null)[]
  >;
  /** Reads the rows whose keys start with the prefix, in key order. */
  scan(
    prefix: string,
    priority: Priority,
    options?: ScanOptions,
  ): Promise<readonly Row[]>;
  /** Applies all writes, or none when a row has an unexpected version. */
  commit(writes: readonly Write[], priority: Priority): Promise<CommitResult>;
}

/** A row that changed; the value is `null` when it was removed. */
export interface RowChange {
  readonly key: string;
  readonly version: StoreVersion;
  readonly value: Json;
}

/** Rows that changed since a version. */
export interface Changes {
  /** Ordered by version; all rows when no version was given. */
  readonly rows: readonly RowChange[];
  /** Version to pass to the next call. */
  readonly version: StoreVersion;
  /** The store no longer has the changes; all rows must be read again. */
  readonly lost: boolean;
}

/** How long a read of changes may take. */
export interface FeedWait {
  /** Milliseconds for which the store may wait for a change. */
  readonly waitMs: number;
  /**
   * Monotonic milliseconds at which the read is given up; by default the wait
   * plus the client's time-out later.
   */
  readonly deadline?: number | undefined;
}

/** A table whose changes can be read by long polling. */
export interface ChangeFeed {
  /**
   * Returns the rows under a prefix that changed after a version; with `null`,
   * returns all rows at once.
   */
  changes(
    prefix: string,
    after: StoreVersion | null,
    wait: FeedWait,
  ): Promise<Changes>;
}
