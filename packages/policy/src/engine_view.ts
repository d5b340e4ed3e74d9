import type { Moment } from "@lavenderferry/runtime";
import type { Demand, LoadReport, PeerShare } from "./dispatcher.ts";
import type { Tail } from "./length_distribution.ts";
import { MemoryForecast } from "./overflow_risk.ts";
import { StepTime } from "./step_time.ts";

const sampleMs = 50;
const keepSamplesMs = 15_000;
const forecastMaxAgeMs = 40;
/** Share of others' former memory that still counts at the next report. */
const heldDecay = 0.85;
const ratioDecay = 0.9;
/** Age of a report beyond which its error grows no more. */
const maxDriftMs = 1_000;
const fewFlights = 2;
const maxScale = 20;
const peerShareMaxAgeMs = 3_000;

/** One own generation that runs at the engine. */
export interface Flight {
  readonly demand: Demand;
  readonly tail: Tail;
  readonly sentAt: number;
  /** Whether it only holds memory and runs elsewhere. */
  readonly passive?: boolean;
  tokensOut: number;
  progressedAt: number;
}

interface Sample {
  readonly wall: number;
  readonly tokens: number;
  readonly count: number;
}

/**
 * What is believed of one engine now: its last report, corrected by what this
 * process sent, saw progress and saw end since the report's time.
 */
export class EngineView {
  readonly #lagCorrection: boolean;
  readonly flights = new Map<string, Flight>();
  readonly stepTime = new StepTime();
  report: LoadReport | null = null;
  readonly #samples: Sample[] = [];
  #othersTokens = 0;
  #othersCount = 0;
  /** Memory that others freed is taken to be filled by them again. */
  #othersHeld = 0;
  #driftSquared = 0;
  #driftTime = 0;
  #ownTokens = 0;
  #ownReported = 0;
  #ownMean = 0;
  #othersMean = 0;
  /** Others' memory over this process's own, over the last reports. */
  #othersRatio = 0;
  readonly #peers = new Map<string, PeerShare & { readonly at: number }>();
  #active = 0;
  /** Generations of all peers, as they last told. */
  #peersCount = 0;
  #forecast = new MemoryForecast();
  #forecastAt = -Infinity;

  constructor(lagCorrection = true) {
    this.#lagCorrection = lagCorrection;
  }

  /** Tokens that this process's generations hold. */
  get ownTokens(): number {
    return this.#ownTokens;
  }

  /** Generations at the engine, as believed. */
  get running(): number {
    if (!this.#lagCorrection) {
      return (this.report?.running ?? 0) + (this.report?.waiting ?? 0);
    }
    return this.#active + Math.max(this.#othersCount, this.#peersCount);
  }

  /** This process's generations that run at the engine. */
  get active(): number {
    return this.#active;
  }

  /** Takes a load report and works out what others hold. */
  take(report: LoadReport, at: Moment): void {
    const former = this.report;
    const formerOthers = this.#othersTokens;
    this.report = report;
    const own = this.#ownAt(report.at);
    const count = report.running + report.waiting;
    const waiting = report.waiting * report.usedTokens /
      Math.max(1, report.running);
    this.#othersTokens = Math.max(0, report.usedTokens + waiting - own.tokens);
    this.#othersHeld = Math.max(
      this.#othersTokens,
      this.#othersHeld * heldDecay,
    );
    if (former !== null && report.at > former.at) {
      const change = this.#othersTokens - formerOthers;
      this.#learnDrift(change, report.at - former.at);
    }
    this.#ownReported = own.tokens;
    this.#learnRatio(own.tokens);
    this.#othersCount = Math.max(0, count - own.count);
    this.#forecastAt = -Infinity;
    this.#sample(at);
  }

  /** Others' memory is taken for a random walk between reports. */
  #learnDrift(change: number, milliseconds: number): void {
    this.#driftSquared = this.#driftSquared * ratioDecay + change ** 2;
    this.#driftTime = this.#driftTime * ratioDecay + milliseconds;
  }

  #othersVariance(at: Moment): number {
    if (this.report === null || this.#driftTime <= 0) {
      return 0;
    }
    const age = Math.max(0, at.wall - this.report.at);
    return Math.min(age, maxDriftMs) * this.#driftSquared / this.#driftTime;
  }

  #learnRatio(own: number): void {
    this.#ownMean = this.#ownMean * ratioDecay + own;
    this.#othersMean = this.#othersMean * ratioDecay + this.#othersTokens;
    this.#othersRatio = this.#ownMean <= 0
      ? 0
      : Math.min(maxScale, this.#othersMean / this.#ownMean);
  }

  /** Takes a peer's share; it counts while it says more than the report. */
  takePeer(peer: string, share: PeerShare, at: Moment): void {
    this.#peers.set(peer, { ...share, at: at.monotonic });
    this.#countPeers();
  }

  /** Forgets a peer that has nothing at this engine any more. */
  dropPeer(peer: string): void {
    if (this.#peers.delete(peer)) {
      this.#countPeers();
    }
  }

  #countPeers(): void {
    this.#peersCount = 0;
    for (const { running } of this.#peers.values()) {
      this.#peersCount += running;
    }
    this.#forecastAt = -Infinity;
  }

  /** Adds an own generation. */
  start(generationId: string, flight: Flight, at: Moment): void {
    this.flights.set(generationId, flight);
    this.#active += flight.passive === true ? 0 : 1;
    this.#ownTokens += flight.demand.promptTokens + flight.tokensOut;
    this.#forecast.add(footprintOf(flight));
    this.#sample(at);
  }

  /** Notes the tokens that an own generation has produced. */
  progress(generationId: string, tokens: number, at: Moment): void {
    const flight = this.flights.get(generationId);
    if (flight === undefined) {
      return;
    }
    const fresh = tokens - flight.tokensOut;
    if (flight.tokensOut > 0 && fresh > 0 && flight.passive !== true) {
      const passed = at.monotonic - flight.progressedAt;
      this.stepTime.observe(this.running, passed / fresh);
    }
    flight.tokensOut = tokens;
    flight.progressedAt = at.monotonic;
    this.#ownTokens += fresh;
    this.#sample(at);
  }

  /** Removes an own generation. */
  end(generationId: string, at: Moment): Flight | undefined {
    const flight = this.flights.get(generationId);
    if (flight === undefined) {
      return undefined;
    }
    this.flights.delete(generationId);
    this.#active -= flight.passive === true ? 0 : 1;
    this.#ownTokens -= flight.demand.promptTokens + flight.tokensOut;
    this.#forecastAt = -Infinity;
    this.#sample(at);
    return flight;
  }

  /** Notes what this process holds, to compare later reports with. */
  #sample(at: Moment): void {
    const wall = Math.floor(at.wall / sampleMs) * sampleMs;
    const sample = { wall, tokens: this.#ownTokens, count: this.#active };
    if (this.#samples.at(-1)?.wall === wall) {
      this.#samples[this.#samples.length - 1] = sample;
      return;
    }
    this.#samples.push(sample);
    while ((this.#samples[0]?.wall ?? wall) < wall - keepSamplesMs) {
      this.#samples.shift();
    }
  }

  /** Returns the memory to come of all that runs. */
  forecast(at: Moment): MemoryForecast {
    if (at.monotonic - this.#forecastAt < forecastMaxAgeMs) {
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

  /** Others' work is taken to grow and end like this process's own. */
  #addOthers(at: Moment): void {
    const others = this.#othersNow(at);
    const own = this.ownTokens;
    if (this.flights.size < fewFlights || others > maxScale * own) {
      this.#forecast.addConstant(others);
    } else {
      this.#forecast.scale(1 + others / own);
    }
    this.#forecast.addVariance(this.#othersVariance(at));
  }

  #othersNow(at: Moment): number {
    let shared = 0;
    for (const share of this.#peers.values()) {
      if (at.monotonic - share.at < peerShareMaxAgeMs) {
        shared += share.tokens;
      }
    }
    const change = this.#othersRatio * (this.ownTokens - this.#ownReported);
    return Math.max(0, this.#othersHeld + change, shared);
  }

  #ownAt(wall: number): { readonly tokens: number; readonly count: number } {
    const sample = this.#samples.findLast((each) => each.wall <= wall);
    return sample ?? { tokens: 0, count: 0 };
  }
}

function footprintOf({ demand, tokensOut, tail }: Flight) {
  return {
    tokens: demand.promptTokens + tokensOut,
    done: tokensOut,
    maxTokens: demand.maxTokens,
    tail,
  };
}
