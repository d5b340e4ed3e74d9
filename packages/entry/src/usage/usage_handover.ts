import type { OpenGeneration } from "@lavenderferry/ledger";
import type { TakenOverUsage } from "./taken_over_usage.ts";

/** The steward that settles this entry's batches. */
export interface Settler {
  readonly id: string;
  /** Batches up to this sequence number were sent to it. */
  sentThrough: number;
  /** Monotonic milliseconds at which the batches are sent again. */
  resendAt: number;
}

/** A steward that stores copies of this entry's unsettled batches. */
export interface Holder {
  readonly id: string;
  /** Batches up to this sequence number are held or settled. */
  heldThrough: number;
  /** Calls that failed since the last answer. */
  failures: number;
}

/** State of the transfer of the entry's unsettled usage to stewards. */
export interface UsageHandover {
  settler: Settler | null;
  /** Rank of the next settler, modulo the stewards; raised on each failure. */
  settlerRank: number;
  holders: readonly Holder[];
  /** Usage of generations that other entries relayed before, by id. */
  readonly takenOver: Map<string, TakenOverUsage>;
  /**
   * Index up to which this entry charged generations that it has dropped, by
   * id; the oldest are evicted first.
   */
  readonly chargedIndexes: Map<string, number>;
  /** The open generations that were last sent to the holders. */
  openGenerations: readonly OpenGeneration[];
}

/** Creates the state of an entry that has sent no usage. */
export function createUsageHandover(): UsageHandover {
  return {
    settler: null,
    settlerRank: 0,
    holders: [],
    takenOver: new Map(),
    chargedIndexes: new Map(),
    openGenerations: [],
  };
}
