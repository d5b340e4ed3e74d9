import type { OpenGeneration } from "@lavenderferry/ledger";
import type { TakenOver } from "./taken_over.ts";

/** The steward that settles this entry's batches. */
export interface Settler {
  readonly id: string;
  /** Batches up to this sequence were sent to it. */
  sentThrough: number;
  /** Monotonic milliseconds after which the batches are sent again. */
  resendAt: number;
}

/** A steward that keeps this entry's unsettled batches. */
export interface Holder {
  readonly id: string;
  /** Batches up to this sequence are kept. */
  heldThrough: number;
  /** Calls that failed since the last answer. */
  failures: number;
}

/** Where the unsettled usage of the entry is. */
export interface UsageHandover {
  settler: Settler | null;
  /** Raised when a settler fails, so that the next one is taken. */
  settlerRank: number;
  holders: readonly Holder[];
  /** Generations that other entries carried before, by id. */
  readonly takenOver: Map<string, TakenOver>;
  /**
   * Index up to which this entry charged a generation that it carries no more,
   * by id; the oldest are forgotten first.
   */
  readonly charged: Map<string, number>;
  /** Open generations as the holders were last told of them. */
  open: readonly OpenGeneration[];
}

/** Creates the state of an entry that has handed nothing over. */
export function createUsageHandover(): UsageHandover {
  return {
    settler: null,
    settlerRank: 0,
    holders: [],
    takenOver: new Map(),
    charged: new Map(),
    open: [],
  };
}
