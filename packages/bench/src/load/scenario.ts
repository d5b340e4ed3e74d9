import type { Targets } from "@lavenderferry/configuration";
import type { EngineSizes } from "@lavenderferry/standins";

/** Requests of one class, and the distribution of their lengths. */
export interface ArrivalStream {
  readonly workClass: string;
  /** Weight among the streams of the scenario. */
  readonly share: number;
  readonly promptTokens: number;
  /** Log-normal output lengths, cut off at `maxTokens`. */
  readonly output: {
    readonly medianTokens: number;
    readonly sigma: number;
    readonly maxTokens: number;
  };
  /** Number of distinct long prefixes of the prompts; none when left out. */
  readonly sharedPrefixCount?: number;
}

/** A period of constant mean load. */
export interface Phase {
  readonly durationMs: number;
  /** Mean load as a fraction of the capacity. */
  readonly load: number;
  /** Factor on all output lengths; 1 when left out. */
  readonly lengthFactor?: number;
}

/** Alternation of calm and burst periods at an unchanged mean load. */
export interface Burst {
  /** Fraction of the time that is spent in bursts. */
  readonly share: number;
  /** Ratio of the arrival rate in a burst to that in a calm period. */
  readonly rateFactor: number;
  readonly meanBurstMs: number;
}

/** The system under test and its load. */
export interface Scenario {
  readonly name: string;
  readonly entries: number;
  readonly engines: number;
  readonly reportLagMs: number;
  readonly sizes: Partial<EngineSizes>;
  /** Requests per second that the engines can complete at most. */
  readonly capacityPerSecond: number;
  readonly classes: Readonly<Record<string, Targets>>;
  readonly streams: readonly ArrivalStream[];
  readonly burst: Burst;
  readonly phases: readonly Phase[];
  /** Requests that arrive earlier are excluded from the figures. */
  readonly warmUpMs: number;
  /** Milliseconds into the load at which half of the engines are killed. */
  readonly reclaimAtMs?: number;
}
