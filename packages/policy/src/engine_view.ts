import type { Moment } from "@lavenderferry/runtime";
import type {
  Demand,
  EngineLoad,
  LoadReport,
  PeerShare,
} from "./dispatcher.ts";
import type { Tail } from "./length_distribution.ts";
import { MemoryForecast } from "./overflow_risk.ts";
import { PoolStatistics } from "./pool_statistics.ts";
import { StepTime } from "./step_time.ts";

const sampleIntervalMs = 50;
const sampleRetentionMs = 15_000;
/** Age up to which a forecast is reused. */
const maxForecastAgeMs = 40;
/** Factor by which the peak of the others' memory decays per report. */
const peakDecayPerReport = 0.85;
/** Decay per report of the sums behind the drift and the ratio. */
const statisticsDecayPerReport = 0.9;
/** Age of a report up to which its variance grows. */
const maxDriftMs = 1_000;
/** Fewest own generations from which others' work is extrapolated. */
const minFlightsToScale = 2;
const maxOthersRatio = 20;
const maxPeerShareAgeMs = 3_000;
/** Age up to which a decision relies on a sample. */
const maxRecentSampleMs = 1_000;
/** Age at which a sample is discarded, as most generations have ended. */
const maxSampleAgeMs = 10_000;

/** A generation that this process dispatched and that has not ended. */
export interface Flight {
  readonly demand: Demand;
  readonly tail: Tail;
  readonly sentAt: number;
  /** Whether it occupies memory here but runs at another engine. */
  readonly holdsMemoryOnly?: boolean;
  /** Prompt tokens of others ahead of it when it was sent; `null`: unknown. */
  readonly tokensAhead?: number | null;
  producedTokens: number;
  progressedAt: number;
}

interface Sample {
  readonly wallMs: number;
  readonly tokens: number;
  readonly count: number;
}

/**
 * The load of others by a report that the engine was asked for. Unlike regular
 * reports, samples are too rare to tell how the load of others changes.
 */
interface LoadSample {
  /** Milliseconds since the Unix epoch at which the load was measured. */
  readonly wallMs: number;
  /** Moment at which the report arrived. */
  readonly arrivedAt: Moment;
  readonly memoryTokens: number;
  readonly othersTokens: number;
  readonly othersRunning: number;
  readonly unreadTokens: number;
}

/**
 * Estimated present load of one engine: its last report, corrected for the
 * generations that this process started, advanced and ended since the report
 * was measured. "Others" are all other sources of load at the engine.
 */
export class EngineView {
  readonly #lagCorrection: boolean;
  readonly flights = new Map<string, Flight>();
  readonly stepTime = new StepTime();
  /** What the engines of the pool have in common. */
  readonly pool: PoolStatistics;
  report: LoadReport | null = null;
  readonly #samples: Sample[] = [];
  #othersTokens = 0;
  #othersRunning = 0;
  /** Decaying peak, as others are expected to refill memory they freed. */
  #othersPeakTokens = 0;
  #driftSquaredSum = 0;
  #driftMsSum = 0;
  #ownTokens = 0;
  #ownTokensAtReport = 0;
  #ownTokensSum = 0;
  #othersTokensSum = 0;
  /** Ratio of others' memory to this process's, over recent reports. */
  #othersRatio = 0;
  readonly #peerShares = new Map<string, PeerShare & { readonly at: number }>();
  #activeFlightCount = 0;
  /** Running generations of all peers, by their latest updates. */
  #peersRunning = 0;
  #forecast = new MemoryForecast();
  #forecastAt = -Infinity;

  #sample: LoadSample | null = null;

  constructor(lagCorrection = true, pool = new PoolStatistics()) {
    this.#lagCorrection = lagCorrection;
    this.pool = pool;
  }

  /** Capacity of the key-value memory in tokens, as last reported. */
  get memoryTokens(): number {
    return this.#sample?.memoryTokens ?? this.report?.memoryTokens ?? Infinity;
  }

  /** Whether the load is known from a sample, recent or not. */
  get isSampled(): boolean {
    return this.#sample !== null;
  }

  /** Tokens held by this process's generations. */
  get ownTokens(): number {
    return this.#ownTokens;
  }

  /** Estimated number of generations at the engine. */
  get running(): number {
    if (!this.#lagCorrection) {
      return (this.report?.running ?? 0) + (this.report?.waiting ?? 0);
    }
    return this.#activeFlightCount +
      Math.max(
        this.#sample?.othersRunning ?? this.#othersRunning,
        this.#peersRunning,
      );
  }

  /** Number of this process's generations that run at the engine. */
  get activeFlightCount(): number {
    return this.#activeFlightCount;
  }

  /** Processes a load report and derives the load of others from it. */
  applyReport(report: LoadReport, at: Moment): void {
    const previous = this.report;
    const previousOthersTokens = this.#othersTokens;
    this.report = report;
    const ownSample = this.#ownSampleAt(report.at);
    const count = report.running + report.waiting;
    const waitingTokens = report.waiting * report.usedTokens /
      Math.max(1, report.running);
    this.#othersTokens = Math.max(
      0,
      report.usedTokens + waitingTokens - ownSample.tokens,
    );
    this.#othersPeakTokens = Math.max(
      this.#othersTokens,
      this.#othersPeakTokens * peakDecayPerReport,
    );
    if (previous !== null && report.at > previous.at) {
      const change = this.#othersTokens - previousOthersTokens;
      this.#learnDrift(change, report.at - previous.at);
    }
    this.#ownTokensAtReport = ownSample.tokens;
    this.#learnRatio(ownSample.tokens);
    this.#othersRunning = Math.max(0, count - ownSample.count);
    this.#forecastAt = -Infinity;
    this.#recordOwnSample(at);
  }

  /**
   * Processes a report that the engine was asked for. The load that this process
   * had at the engine when it was measured is subtracted.
   */
  applySample(
    load: EngineLoad,
    { measuredAt, at }: { readonly measuredAt: number; readonly at: Moment },
  ): void {
    const previous = this.#sample;
    if (previous !== null && measuredAt <= previous.wallMs) {
      return;
    }
    const own = this.#ownSampleAt(measuredAt);
    const { running, waiting, memoryTokens, usedTokens } = load;
    const waitingTokens = waiting * usedTokens / Math.max(1, running);
    const othersTokens = Math.max(0, usedTokens + waitingTokens - own.tokens);
    if (previous !== null) {
      this.pool.learnDrift(
        (othersTokens - previous.othersTokens) / Math.max(1, memoryTokens),
        measuredAt - previous.wallMs,
      );
    }
    this.#sample = {
      wallMs: measuredAt,
      arrivedAt: at,
      memoryTokens,
      othersTokens,
      othersRunning: Math.max(0, running + waiting - own.count),
      unreadTokens: load.unreadTokens ?? 0,
    };
    this.#forecastAt = -Infinity;
    this.#recordOwnSample(at);
  }

  /**
   * Prompt tokens that the engine must process before those of a new request: the
   * sampled ones and those that this process has sent since.
   */
  unreadTokens(at: Moment): number {
    const sample = this.#sample;
    if (sample === null) {
      return 0;
    }
    const measuredAt = at.monotonic - (at.wall - sample.wallMs);
    let tokens = sample.unreadTokens;
    for (const { demand, producedTokens, sentAt } of this.flights.values()) {
      tokens += sentAt > measuredAt && producedTokens === 0
        ? demand.promptTokens
        : 0;
    }
    return tokens;
  }

  /**
   * Corrects the latest sample after the engine has rejected a generation: there
   * was no room for it. Reports that were measured before do not change that.
   */
  recordRejection({ promptTokens }: Demand, at: Moment): void {
    if (this.#sample === null) {
      return;
    }
    const { memoryTokens, othersTokens, othersRunning } = this.#sample;
    const leastOthers = memoryTokens - promptTokens - this.#ownTokens;
    this.#sample = {
      ...this.#sample,
      wallMs: at.wall,
      arrivedAt: at,
      othersTokens: Math.max(othersTokens, leastOthers),
      othersRunning: Math.max(1, othersRunning),
    };
    this.#forecastAt = -Infinity;
  }

  /**
   * Age of the latest sample since its arrival; `Infinity`: there is none. The
   * monotonic clock does not count the time for which a VM is suspended.
   */
  sampleAgeMs(at: Moment): number {
    const { arrivedAt } = this.#sample ?? {};
    return arrivedAt === undefined ? Infinity : Math.max(
      at.monotonic - arrivedAt.monotonic,
      at.wall - arrivedAt.wall,
    );
  }

  /** Whether a decision can rely on the latest sample. */
  hasRecentSample(at: Moment): boolean {
    return this.sampleAgeMs(at) <= maxRecentSampleMs;
  }

  /** Models others' memory as a random walk between reports. */
  #learnDrift(change: number, milliseconds: number): void {
    this.#driftSquaredSum = this.#driftSquaredSum * statisticsDecayPerReport +
      change ** 2;
    this.#driftMsSum = this.#driftMsSum * statisticsDecayPerReport +
      milliseconds;
  }

  #othersVariance(at: Moment): number {
    if (this.report === null || this.#driftMsSum <= 0) {
      return 0;
    }
    const ageMs = Math.max(0, at.wall - this.report.at);
    return Math.min(ageMs, maxDriftMs) * this.#driftSquaredSum /
      this.#driftMsSum;
  }

  #learnRatio(ownTokens: number): void {
    this.#ownTokensSum = this.#ownTokensSum * statisticsDecayPerReport +
      ownTokens;
    this.#othersTokensSum = this.#othersTokensSum * statisticsDecayPerReport +
      this.#othersTokens;
    this.#othersRatio = this.#ownTokensSum <= 0
      ? 0
      : Math.min(maxOthersRatio, this.#othersTokensSum / this.#ownTokensSum);
  }

  /** Sets a peer's load; it counts where it exceeds the report's figures. */
  setPeerShare(peer: string, share: PeerShare, at: Moment): void {
    this.#peerShares.set(peer, { ...share, at: at.monotonic });
    this.#sumPeersRunning();
  }

  /** Removes a peer that has no work at this engine. */
  removePeerShare(peer: string): void {
    if (this.#peerShares.delete(peer)) {
      this.#sumPeersRunning();
    }
  }

  #sumPeersRunning(): void {
    this.#peersRunning = 0;
    for (const { running } of this.#peerShares.values()) {
      this.#peersRunning += running;
    }
    this.#forecastAt = -Infinity;
  }

  /**
   * Returns the milliseconds until a prompt is expected to be admitted, if no generation starts in the meantime. Memory in use is freed evenly over
   * the time for which generations hold it.
   */
  estimateRoomMs(promptTokens: number, at: Moment): number {
    const { mean } = this.forecast(at);
    const usedTokens = mean[0] ?? 0;
    const missingTokens = usedTokens + promptTokens - this.memoryTokens;
    return missingTokens <= 0
      ? 0
      : this.pool.holdMs * Math.min(1, missingTokens / usedTokens);
  }

  /** Adds a generation of this process. */
  addFlight(generationId: string, flight: Flight, at: Moment): void {
    this.flights.set(generationId, flight);
    this.#activeFlightCount += flight.holdsMemoryOnly === true ? 0 : 1;
    this.#ownTokens += flight.demand.promptTokens + flight.producedTokens;
    this.#forecast.add(footprintOf(flight));
    this.#recordOwnSample(at);
  }

  /** Sets the total number of tokens that a generation has produced. */
  updateFlight(generationId: string, tokens: number, at: Moment): void {
    const flight = this.flights.get(generationId);
    if (flight === undefined) {
      return;
    }
    const newTokens = tokens - flight.producedTokens;
    if (
      flight.producedTokens > 0 && newTokens > 0 &&
      flight.holdsMemoryOnly !== true
    ) {
      const elapsedMs = at.monotonic - flight.progressedAt;
      this.stepTime.observe(this.running, elapsedMs / newTokens);
      this.pool.stepTime.observe(this.running, elapsedMs / newTokens);
    }
    const { demand, tokensAhead = null, sentAt } = flight;
    // A generation that is resumed has tokens at once.
    const elapsedMs = at.monotonic - sentAt;
    if (
      flight.producedTokens === 0 && newTokens > 0 && tokensAhead !== null &&
      elapsedMs > 0
    ) {
      const tokens = tokensAhead + demand.promptTokens;
      this.pool.prefillRate.observe(tokens, elapsedMs);
    }
    flight.producedTokens = tokens;
    flight.progressedAt = at.monotonic;
    this.#ownTokens += newTokens;
    this.#recordOwnSample(at);
  }

  /** Removes a generation of this process, and returns it if it was known. */
  removeFlight(generationId: string, at: Moment): Flight | undefined {
    const flight = this.flights.get(generationId);
    if (flight === undefined) {
      return undefined;
    }
    this.flights.delete(generationId);
    this.#activeFlightCount -= flight.holdsMemoryOnly === true ? 0 : 1;
    this.#ownTokens -= flight.demand.promptTokens + flight.producedTokens;
    this.#forecastAt = -Infinity;
    this.#recordOwnSample(at);
    return flight;
  }

  /** Records this process's load, to subtract it from later reports. */
  #recordOwnSample(at: Moment): void {
    const wallMs = Math.floor(at.wall / sampleIntervalMs) * sampleIntervalMs;
    const sample = {
      wallMs,
      tokens: this.#ownTokens,
      count: this.#activeFlightCount,
    };
    if (this.#samples.at(-1)?.wallMs === wallMs) {
      this.#samples[this.#samples.length - 1] = sample;
      return;
    }
    this.#samples.push(sample);
    while ((this.#samples[0]?.wallMs ?? wallMs) < wallMs - sampleRetentionMs) {
      this.#samples.shift();
    }
  }

  /** Returns the memory forecast for all work at the engine; it is cached. */
  forecast(at: Moment): MemoryForecast {
    if (this.sampleAgeMs(at) > maxSampleAgeMs) {
      this.#sample = null;
    }
    if (at.monotonic - this.#forecastAt < maxForecastAgeMs) {
      return this.#forecast;
    }
    this.#forecast = new MemoryForecast();
    this.#forecastAt = at.monotonic;
    if (!this.#lagCorrection) {
      this.#forecast.addConstant(this.report?.usedTokens ?? 0);
      return this.#forecast;
    }
    for (const flight of this.flights.values()) {
      this.#forecast.add(footprintOf(flight));
    }
    this.#addOthers(at);
    return this.#forecast;
  }

  /** Assumes that others' work grows and ends like this process's. */
  #addOthers(at: Moment): void {
    if (this.#sample !== null) {
      this.#addSampledOthers(this.#sample, at);
      return;
    }
    const othersTokens = this.#estimateOthersTokens(at);
    const ownTokens = this.ownTokens;
    if (
      this.flights.size < minFlightsToScale ||
      othersTokens > maxOthersRatio * ownTokens
    ) {
      this.#forecast.addConstant(othersTokens);
    } else {
      this.#forecast.scale(1 + othersTokens / ownTokens);
    }
    this.#forecast.addVariance(this.#othersVariance(at));
  }

  /**
   * Assumes that others' work stays as it was sampled, with a variance that grows
   * with the age. The few generations of this process say nothing about those of
   * a large fleet.
   */
  #addSampledOthers(
    { othersTokens, memoryTokens, wallMs }: LoadSample,
    at: Moment,
  ): void {
    const variance = this.pool.varianceAfter(at.wall - wallMs);
    this.#forecast.addConstant(Math.max(othersTokens, this.#peerTokens(at)));
    this.#forecast.addVariance(variance * memoryTokens ** 2);
  }

  #peerTokens(at: Moment): number {
    let peerTokens = 0;
    for (const share of this.#peerShares.values()) {
      if (at.monotonic - share.at < maxPeerShareAgeMs) {
        peerTokens += share.tokens;
      }
    }
    return peerTokens;
  }

  #estimateOthersTokens(at: Moment): number {
    const peerTokens = this.#peerTokens(at);
    const change = this.#othersRatio *
      (this.ownTokens - this.#ownTokensAtReport);
    return Math.max(0, this.#othersPeakTokens + change, peerTokens);
  }

  #ownSampleAt(
    wallMs: number,
  ): { readonly tokens: number; readonly count: number } {
    const sample = this.#samples.findLast((past) => past.wallMs <= wallMs);
    return sample ?? { tokens: 0, count: 0 };
  }
}

function footprintOf({ demand, producedTokens, tail }: Flight) {
  return {
    heldTokens: demand.promptTokens + producedTokens,
    producedTokens,
    maxTokens: demand.maxTokens,
    tail,
  };
}
