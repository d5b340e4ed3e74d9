import type { Configuration } from "@lavenderferry/configuration";

/** The configuration versions by which settlement divides usage. */
export interface SplitHistory {
  /**
   * Loads every version in force between two wall-clock times. Returns the
   * wall-clock time up to which no version can be missing.
   */
  loadVersions(from: number, now: number): Promise<number>;
  /** Returns the version in force at a wall-clock time in the loaded range. */
  at(wallMs: number): Configuration;
}
