import type { Targets } from "@lavenderferry/configuration";
import type { Moment } from "@lavenderferry/runtime";

/** What one generation asks of an engine. */
export interface Demand {
  readonly requestId: string;
  readonly workspace: string;
  readonly workClass: string;
  readonly model: string;
  /** Estimated tokens of the prompt. */
  readonly promptTokens: number;
  /** Tokens that the caller allows at most. */
  readonly maxTokens: number;
  /** Digests of the prompt's blocks, each over all before it. */
  readonly prefix: readonly string[];
  readonly targets: Targets;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Engines that must not get it, as they refused it before. */
  readonly avoid?: readonly string[];
}

/** What an engine reports about its load, some time late. */
export interface LoadReport {
  /** Wall milliseconds at which the engine measured. */
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
  /** Tokens that the key-value memory holds at most. */
  readonly memoryTokens: number;
  readonly usedTokens: number;
  /** Counts since the engine started. */
  readonly preemptions: number;
  readonly finished: number;
  readonly draining: boolean;
  readonly models: readonly string[];
}

/** What is known of an engine beside its load. */
export interface EngineDescription {
  readonly id: string;
  readonly dataCentre: string;
  readonly pool: string;
  /** Requests that it runs at the same time, where it states that. */
  readonly slots?: number;
}

/** Why an engine was chosen, or why none was. */
export const placementReasons = {
  next: "next",
  least_load: "least_load",
  lowest_risk: "lowest_risk",
  cached_prefix: "cached_prefix",
  memory_at_risk: "memory_at_risk",
  no_engine: "no_engine",
  no_model: "no_model",
  engines_full: "engines_full",
  target_unreachable: "target_unreachable",
  workspace_share: "workspace_share",
  free_slot: "free_slot",
  slots_full: "slots_full",
  retry_budget: "retry_budget",
} as const;

/** One of the reasons of a placement. */
export type PlacementReason = keyof typeof placementReasons;

/** Figures that a placement was made from. */
export type Figures = Readonly<Record<string, string | number | boolean>>;

/** Where a demand goes now. */
export type Placement =
  | {
    readonly kind: "dispatch";
    readonly engine: string;
    /** Higher runs first in the engine. */
    readonly priority: number;
    readonly reason: PlacementReason;
    readonly figures: Figures;
  }
  | {
    readonly kind: "wait";
    readonly reason: PlacementReason;
    readonly figures: Figures;
  }
  | {
    readonly kind: "refuse";
    readonly error:
      | "overloaded"
      | "workspace_limit"
      | "no_upstream"
      | "unknown_model"
      | "prompt_too_long";
    readonly retryAfterMs: number;
    readonly reason: PlacementReason;
    readonly figures: Figures;
  };

/** How a generation ended at its engine. */
export type Ending = "finished" | "cancelled" | "failed" | "refused";

/** A generation that was sent to an engine. */
export interface Sent {
  readonly generationId: string;
  readonly engine: string;
  readonly demand: Demand;
  /** Whether it only holds memory there and runs elsewhere. */
  readonly passive?: boolean;
}

/** A demand of the backlog whose wait is over. */
export interface Release {
  readonly demand: Demand;
  readonly placement: Exclude<Placement, { readonly kind: "wait" }>;
}

/** Work that one peer has in flight at one engine. */
export interface PeerShare {
  readonly engine: string;
  readonly running: number;
  readonly tokens: number;
}

/** Decayed counts of output lengths, by power-of-two bucket. */
export interface LengthSketch {
  readonly workClass: string;
  readonly model: string;
  readonly counts: readonly number[];
}

/**
 * Decides where and when generations run, and keeps the backlog.
 * All methods are deterministic: time and random numbers come in from outside.
 */
export interface Dispatcher {
  /** Adds an engine, or updates what is known of it. */
  addEngine(engine: EngineDescription, at: Moment): void;
  /** Gives an engine no new work; its running generations go on. */
  removeEngine(id: string): void;
  /** Takes a load report. */
  report(id: string, report: LoadReport, at: Moment): void;
  /** Notes that a load report did not arrive. */
  reportFailed(id: string, at: Moment): void;
  /** Takes digests of prefixes that an engine holds or has dropped. */
  cacheChanged(id: string, change: CacheChange): void;
  /** Takes the work that a peer has in flight, in place of its former. */
  peerChanged(peer: string, shares: readonly PeerShare[], at: Moment): void;
  /** Takes a peer's counts of output lengths. */
  learnLengths(peer: string, sketches: readonly LengthSketch[]): void;
  /** Returns the counts of output lengths that changed since the last call. */
  changedLengths(): readonly LengthSketch[];
  /** Returns the work in flight by engine. */
  shares(): readonly PeerShare[];
  /** Decides where a demand goes; one that must wait joins the backlog. */
  place(demand: Demand, at: Moment): Placement;
  /** Removes a demand from the backlog. */
  withdraw(requestId: string): void;
  /** Removes and returns the demands of the backlog whose wait is over. */
  release(at: Moment): readonly Release[];
  /** Demands that wait. */
  readonly waiting: number;
  /**
   * Chooses an engine with room for work that runs elsewhere, now or not at
   * all; what waits is not asked.
   */
  transfer(demand: Demand, options: TransferOptions): string | null;
  /** Notes that a generation was sent as placed. */
  sent(sent: Sent, at: Moment): void;
  /** Notes that tokens arrived; the count is since the start. */
  progressed(generationId: string, tokens: number, at: Moment): void;
  /** Notes that a generation ended. */
  ended(generationId: string, ending: Ending, at: Moment): void;
}

/** How an engine is chosen for work that runs elsewhere. */
export interface TransferOptions {
  readonly at: Moment;
  /** Data centre whose engines go first. */
  readonly near?: string;
  /** Share of its memory that an engine may hold with it; 1 if absent. */
  readonly largestFill?: number;
  /** Engines that are weighed; few spread what processes decide at once. */
  readonly candidates: number;
}

/** Prefix digests that an engine's cache gained and lost. */
export interface CacheChange {
  readonly stored: readonly string[];
  readonly dropped: readonly string[];
  /** Whether events were missed before these. */
  readonly gap: boolean;
}
