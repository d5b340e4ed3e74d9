import type { Targets } from "@lavenderferry/configuration";
import type { Moment } from "@lavenderferry/runtime";

/** Resource demand and targets of one request or generation. */
export interface Demand {
  readonly requestId: string;
  readonly workspace: string;
  readonly workClass: string;
  readonly model: string;
  /** Estimated number of prompt tokens. */
  readonly promptTokens: number;
  /** Maximum number of output tokens that the caller allows. */
  readonly maxTokens: number;
  /** Digest per prompt block, each covering all blocks up to it. */
  readonly prefix: readonly string[];
  readonly targets: Targets;
  /** Arrival time in monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Ids of engines that must not be chosen, such as those that refused it. */
  readonly excludedEngines?: readonly string[];
}

/** Load that an engine measured; it is out of date when it arrives. */
export interface LoadReport {
  /** Milliseconds since the Unix epoch at which the load was measured. */
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
  /** Capacity of the key-value memory in tokens. */
  readonly memoryTokens: number;
  readonly usedTokens: number;
  /** Preemptions since the engine started. */
  readonly preemptions: number;
  /** Generations finished since the engine started. */
  readonly finished: number;
  readonly draining: boolean;
  readonly models: readonly string[];
}

/** Load and memory of an engine, as its report states them. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Capacity of the key-value memory in tokens. */
  readonly memoryTokens: number;
  /** Tokens of memory in use, those of copies included. */
  readonly usedTokens: number;
  /** Tokens of copies and of reserved memory. */
  readonly heldTokens: number;
  /** Prompt tokens to process before those of a new request; default 0. */
  readonly unreadTokens?: number;
}

/** Static properties of an engine. */
export interface EngineDescription {
  readonly id: string;
  readonly dataCentre: string;
  readonly pool: string;
  /** Maximum number of concurrent requests, if the engine declares it. */
  readonly slots?: number;
}

/** Reason codes for choosing an engine, waiting or refusing. */
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
  upstream_limit: "upstream_limit",
} as const;

/** One of the reason codes in `placementReasons`. */
export type PlacementReason = keyof typeof placementReasons;

/** Inputs of a placement, recorded with the decision. */
export type Figures = Readonly<Record<string, string | number | boolean>>;

/** Decision about a demand: dispatch to an engine, wait or refuse. */
export type Placement =
  | {
    readonly kind: "dispatch";
    readonly engine: string;
    /** Scheduling priority in the engine; higher values run first. */
    readonly priority: number;
    /**
     * Whether the engine may lack memory, so that an urgent request would preempt
     * others there.
     */
    readonly isTight?: boolean;
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
export type DispatchOutcome = "finished" | "cancelled" | "failed" | "refused";

/** A generation that was dispatched to an engine. */
export interface SentGeneration {
  readonly generationId: string;
  readonly engine: string;
  readonly demand: Demand;
  /** Whether it occupies memory at the engine but runs at another one. */
  readonly holdsMemoryOnly?: boolean;
}

/** A demand removed from the backlog, to be dispatched or refused. */
export interface ReleasedDemand {
  readonly demand: Demand;
  readonly placement: Exclude<Placement, { readonly kind: "wait" }>;
}

/** Work that one process has in flight at one engine. */
export interface PeerShare {
  readonly engine: string;
  readonly running: number;
  readonly tokens: number;
}

/** Decayed counts of output lengths by logarithmic bucket. */
export interface LengthSketch {
  readonly workClass: string;
  readonly model: string;
  readonly counts: readonly number[];
}

/**
 * Decides where and when generations run, and owns the backlog. All methods
 * are deterministic: the time is passed in, and random numbers are seeded.
 */
export interface Dispatcher {
  /** Adds an engine, or accepts work for it again after its removal. */
  addEngine(engine: EngineDescription, at: Moment): void;
  /** Stops dispatching to an engine; its running generations continue. */
  removeEngine(id: string): void;
  /** Processes a load report. */
  loadReported(id: string, report: LoadReport, at: Moment): void;
  /** Records that a load report could not be fetched. */
  loadReportFailed(id: string, at: Moment): void;
  /** Processes a change of the prefixes in an engine's cache. */
  cacheChanged(id: string, change: CacheChange): void;
  /** Replaces the work that a peer has in flight. */
  peerChanged(peer: string, shares: readonly PeerShare[], at: Moment): void;
  /** Merges a peer's counts of output lengths. */
  learnLengths(peer: string, sketches: readonly LengthSketch[]): void;
  /** Returns the counts of output lengths changed since the last call. */
  takeChangedLengths(): readonly LengthSketch[];
  /** Returns the work that this process has in flight, by engine. */
  shares(): readonly PeerShare[];
  /** Decides about a demand and queues it if it has to wait. */
  place(demand: Demand, at: Moment): Placement;
  /** Removes a demand from the backlog, for example when it is cancelled. */
  withdraw(requestId: string): void;
  /** Removes and returns the queued demands to dispatch or refuse now. */
  release(at: Moment): readonly ReleasedDemand[];
  /** Number of demands in the backlog. */
  readonly waiting: number;
  /**
   * Chooses an engine to receive the memory of a generation that runs at
   * another one, or returns `null` if none has room. Ignores the backlog.
   */
  chooseTransferTarget(demand: Demand, options: TransferOptions): string | null;
  /** Records that a generation was dispatched. */
  sent(sent: SentGeneration, at: Moment): void;
  /** Records the total number of tokens that a generation has produced. */
  progressed(generationId: string, tokens: number, at: Moment): void;
  /** Records that a generation ended. */
  ended(generationId: string, outcome: DispatchOutcome, at: Moment): void;
}

/**
 * Places generations by reports that engines are asked for when a demand arrives,
 * instead of by reports that all arrive regularly.
 */
export interface ReportingDispatcher {
  /** Returns the ids of the engines to ask before a demand is placed. */
  enginesToAsk(demand: Demand, at: Moment): readonly string[];
  /** Returns the ids of engines to ask while demands are queued. */
  enginesToAskForQueue(at: Moment): readonly string[];
  /**
   * Processes the load of an engine. `measuredAt` is in milliseconds since the
   * Unix epoch.
   */
  engineReported(
    id: string,
    load: EngineLoad,
    times: { readonly measuredAt: number; readonly at: Moment },
  ): void;
  /** Decides about a demand; it is sent to none but the given engines. */
  placeAmong(
    demand: Demand,
    engines: readonly string[],
    at: Moment,
  ): Placement;
}

/** Constraints on the engine that receives a generation's memory. */
export interface TransferOptions {
  readonly at: Moment;
  /** Data centre whose engines are preferred. */
  readonly preferredDataCentre?: string;
  /** Ids of engines that are tried first, in this order. */
  readonly preferredEngines?: readonly string[];
  /** Whether only engines with a recent report are chosen; default `false`. */
  readonly isReported?: boolean;
  /** Largest fraction of its memory that the engine may use; default 1. */
  readonly maxMemoryFraction?: number;
  /**
   * Number of engines sampled. A small sample makes processes that decide at
   * the same time choose different engines.
   */
  readonly maxCandidates: number;
}

/** Prefix digests added to and evicted from an engine's cache. */
export interface CacheChange {
  readonly stored: readonly string[];
  readonly dropped: readonly string[];
  /** Whether earlier cache events were lost. */
  readonly gap: boolean;
}
