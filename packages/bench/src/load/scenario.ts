import type { Targets } from "@lavenderferry/configuration";
import type { EngineSizes } from "@lavenderferry/standins";

/** Requests of one class. */
export interface Stream {
  readonly workClass: string;
  /** Share of the requests. */
  readonly share: number;
  readonly promptTokens: number;
  /** Log-normal output lengths. */
  readonly output: {
    readonly median: number;
    readonly sigma: number;
    readonly most: number;
  };
  /** Number of long prefixes that the prompts share; none when left out. */
  readonly prefixes?: number;
}

/** A part of the load. */
export interface Phase {
  readonly durationMs: number;
  /** Mean load as a share of the capacity. */
  readonly load: number;
  /** Factor on all output lengths. */
  readonly lengthFactor?: number;
}

/** Calm and burst alternate; the mean load stays. */
export interface Burst {
  /** Share of the time that bursts take. */
  readonly share: number;
  /** Rate in a burst over the rate in calm. */
  readonly factor: number;
  readonly meanMs: number;
}

/** What one run of the bench drives and against what. */
export interface Scenario {
  readonly name: string;
  readonly entries: number;
  readonly engines: number;
  readonly reportLagMs: number;
  readonly sizes: Partial<EngineSizes>;
  /** Requests per second that the engines finish at most. */
  readonly capacity: number;
  readonly classes: Readonly<Record<string, Targets>>;
  readonly streams: readonly Stream[];
  readonly burst: Burst;
  readonly phases: readonly Phase[];
  /** Requests that arrive before this are not measured. */
  readonly warmupMs: number;
  /** Milliseconds into the load at which half of the engines go away. */
  readonly reclaimAtMs?: number;
}
