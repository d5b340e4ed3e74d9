import type { Moment } from "@lavenderferry/runtime";
import type { Demand, LoadReport, PeerShare } from "./dispatcher.ts";
import type { Tail } from "./length_distribution.ts";
import { MemoryForecast } from "./overflow_risk.ts";
import { StepTime } from "./step_time.ts";

const sampleEveryMs = 50;
const keepSamplesMs = 15_000;
const forecastMaxAgeMs = 40;
const peerShareMaxAgeMs = 3_000;

/** One own generation that runs at the engine. */
export interface Flight {
  readonly demand: Demand;
  readonly tail: Tail;
  readonly sentAt: number;
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
  readonly #peers = new Map<string, PeerShare & { readonly at: number }>();
  #forecast = new MemoryForecast();
  #forecastAt = -Infinity;

  constructor(lagCorrection = true) {
    this.#lagCorrection = lagCorrection;
  }

  /** Tokens that this process's generations hold. */
  get ownTokens(): number {
    let sum = 0;
    for (const { demand, tokensOut } of this.flights.values()) {
      sum += demand.promptTokens + tokensOut;
    }
    return sum;
  }

  /** Generations at the engine, as believed. */
  get running(): number {
    if (!this.#lagCorrection) {
      return (this.report?.running ?? 0) + (this.report?.waiting ?? 0);
    }
    return this.flights.size + this.#othersCount;
  }

  /** Takes a load report and works out what others hold. */
  take(report: LoadReport, at: Moment): void {
    this.report = report;
    const own = this.#ownAt(report.at);
    const count = report.running + report.waiting;
    this.#othersTokens = Math.max(0, report.usedTokens - own.tokens);
    this.#othersCount = Math.max(0, count - own.count);
    this.#forecastAt = -Infinity;
    this.sample(at);
  }

  /** Takes a peer's share; it counts while it says more than the report. */
  takePeer(peer: string, share: PeerShare, at: Moment): void {
    this.#peers.set(peer, { ...share, at: at.monotonic });
    this.#forecastAt = -Infinity;
  }

  /** Notes what this process holds, to compare later reports with. */
  sample(at: Moment): void {
    const last = this.#samples.at(-1);
    if (last !== undefined && at.wall - last.wall < sampleEveryMs) {
      return;
    }
    const { ownTokens: tokens, flights } = this;
    this.#samples.push({ wall: at.wall, tokens, count: flights.size });
    while ((this.#samples[0]?.wall ?? at.wall) < at.wall - keepSamplesMs) {
      this.#samples.shift();
    }
  }

  /** Adds an own generation. */
  start(generationId: string, flight: Flight, at: Moment): void {
    this.flights.set(generationId, flight);
    this.#forecast.add(footprintOf(flight));
    this.sample(at);
  }

  /** Removes an own generation. */
  end(generationId: string, at: Moment): Flight | undefined {
    const flight = this.flights.get(generationId);
    this.flights.delete(generationId);
    this.#forecastAt = -Infinity;
    this.sample(at);
    return flight;
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
    this.#forecast.addConstant(this.#othersNow(at));
    return this.#forecast;
  }

  #othersNow(at: Moment): number {
    let shared = 0;
    for (const share of this.#peers.values()) {
      if (at.monotonic - share.at < peerShareMaxAgeMs) {
        shared += share.tokens;
      }
    }
    return Math.max(this.#othersTokens, shared);
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
