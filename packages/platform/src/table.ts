/** Anything that JSON can carry. */
export type Json =
  | null
  | boolean
  | number
  | string
  | readonly Json[]
  | { readonly [name: string]: Json | undefined };

/** One row of the table; its version grows by one with every write. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: Json;
}

/** One conditional write. */
export interface Write {
  readonly key: string;
  /** Version that the row must have; `null`: the row must not exist. */
  readonly ifVersion: number | null;
  /** New value; `null` removes the row. */
  readonly value: Json;
}

/** What became of a transaction. */
export type CommitResult =
  | { readonly kind: "committed"; readonly versions: readonly number[] }
  | { readonly kind: "conflict"; readonly rows: readonly (Row | null)[] };

/** Bounds of one scan. */
export interface ScanOptions {
  /** Only keys after this one. */
  readonly after?: string;
  readonly limit?: number;
}

/** How urgent an operation is while the store is slow. */
export const priorities = {
  bookings: 40,
  leases: 30,
  configuration: 20,
  cost: 10,
  reports: 0,
} as const;

/** One of the priorities of table operations. */
export type Priority = keyof typeof priorities;

/**
 * The platform's transactional table.
 * Every method fails with the kind `store_unavailable`; `notRun` is `unknown`
 * where a commit may have taken effect.
 */
export interface Table {
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
  /** Applies all writes, or none of them when a condition does not hold. */
  commit(writes: readonly Write[], priority: Priority): Promise<CommitResult>;
}

/** A row that changed; the value `null` says that it was removed. */
export interface RowChange {
  readonly key: string;
  readonly version: number;
  readonly value: Json;
}

/** Rows that changed since a version. */
export interface Changes {
  /** In the order of their versions; all rows where none was asked after. */
  readonly rows: readonly RowChange[];
  /** Version after which to ask next. */
  readonly version: number;
  /** The store no longer knows what changed: all rows have to be read. */
  readonly lost: boolean;
}

/** Follows the rows of a table. */
export interface ChangeFeed {
  /**
   * Returns the rows under a prefix that changed after a version, as soon as
   * there is one; `null` returns all rows at once.
   */
  changes(
    prefix: string,
    after: number | null,
    waitMs: number,
  ): Promise<Changes>;
}
