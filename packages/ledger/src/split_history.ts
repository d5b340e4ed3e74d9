import type { Configuration } from "@lavenderferry/configuration";

/** The versions that settlement divides usage by. */
export interface SplitHistory {
  /**
   * Loads every version in force between two wall times, and returns the time
   * up to which no version can be missing.
   */
  cover(from: number, now: number): Promise<number>;
  /** Returns the version in force at a wall time that is covered. */
  at(wall: number): Configuration;
}
