import type { Moment } from "@lavenderferry/runtime";
import type { EngineDescription, LoadReport, PeerShare } from "./dispatcher.ts";
import { Engine } from "./engine.ts";
import { PoolStatistics } from "./pool_statistics.ts";

/** Age after which the mean step time is computed again. */
const maxStepTimeAgeMs = 250;

/** Engines that accept work for one model. */
export interface ModelEngines {
  readonly engines: readonly Engine[];
  /** Largest key-value memory among them in tokens. */
  readonly memoryTokens: number;
}

/** All engines, with a cached list per model. */
export class EnginePool {
  readonly #engines = new Map<string, Engine>();
  readonly #enginesByModel = new Map<string, ModelEngines>();
  readonly #lagCorrection: boolean;
  readonly #statistics = new PoolStatistics();
  #meanStepMs = 0;
  #meanStepComputedAt = -Infinity;

  constructor(lagCorrection: boolean) {
    this.#lagCorrection = lagCorrection;
  }

  /** Whether any engine accepts new work. */
  get acceptsWork(): boolean {
    return [...this.#engines.values()].some((engine) => engine.acceptsWork);
  }

  /** Number of engines, also of those that accept no new work. */
  get size(): number {
    return this.#engines.size;
  }

  /** Iterates over all engines, also those that accept no new work. */
  values(): Iterable<Engine> {
    return this.#engines.values();
  }

  /** Returns the engine with an id, if there is one. */
  get(id: string): Engine | undefined {
    return this.#engines.get(id);
  }

  /** Returns the engines with the given ids. */
  list(ids: readonly string[]): readonly Engine[] {
    return ids.map((id) => this.get(id))
      .filter((engine) => engine !== undefined);
  }

  /** Adds an engine, or enables it again. */
  add(description: EngineDescription): void {
    const engine = this.#engines.get(description.id);
    if (engine?.acceptsWork === true) {
      return;
    }
    this.#enginesByModel.clear();
    if (engine === undefined) {
      const added = new Engine(
        description,
        this.#lagCorrection,
        this.#statistics,
      );
      this.#engines.set(description.id, added);
    } else {
      engine.acceptsWork = true;
    }
  }

  /** Makes an engine accept no new work. */
  disable(engine: Engine): void {
    engine.acceptsWork = false;
    this.#enginesByModel.clear();
    this.removeIfIdle(engine);
  }

  /** Removes a disabled engine that has no generations in flight. */
  removeIfIdle(engine: Engine): void {
    if (!engine.acceptsWork && engine.view.flights.size === 0) {
      this.#engines.delete(engine.id);
    }
  }

  /** Clears the cached lists if a load report affects them. */
  invalidateIfChanged(previous: LoadReport | null, report: LoadReport): void {
    const unchanged = previous?.draining === report.draining &&
      previous.memoryTokens === report.memoryTokens &&
      previous.models.join() === report.models.join();
    if (!unchanged) {
      this.#enginesByModel.clear();
    }
  }

  /** Returns the engines that accept work for a model. */
  enginesFor(model: string): ModelEngines {
    const cached = this.#enginesByModel.get(model);
    if (cached !== undefined) {
      return cached;
    }
    const engines = [...this.#engines.values()].filter((engine) =>
      engine.serves(model)
    );
    const memoryTokens = Math.max(
      0,
      ...engines.map(({ view }) => view.report?.memoryTokens ?? Infinity),
    );
    const modelEngines = { engines, memoryTokens };
    if (this.#enginesByModel.size < maxCachedModels) {
      this.#enginesByModel.set(model, modelEngines);
    }
    return modelEngines;
  }

  /** Replaces the work that a peer has in flight. */
  setPeerShares(peer: string, shares: readonly PeerShare[], at: Moment): void {
    const shareByEngine = new Map(shares.map((share) => [share.engine, share]));
    for (const { id, view } of this.#engines.values()) {
      const share = shareByEngine.get(id);
      if (share === undefined) {
        view.removePeerShare(peer);
      } else {
        view.setPeerShare(peer, share, at);
      }
    }
  }

  /** Returns the work that this process has in flight, by engine. */
  shares(): readonly PeerShare[] {
    return [...this.#engines.values()].map(({ id, view }) => ({
      engine: id,
      running: view.activeFlightCount,
      tokens: view.ownTokens,
    }));
  }

  /** Returns the failure counts by engine and reason. */
  failures(): ReadonlyMap<string, ReadonlyMap<string, number>> {
    return new Map(
      [...this.#engines.values()].map((
        { id, circuit },
      ) => [id, circuit.failuresByReason]),
    );
  }

  /** Returns the mean milliseconds between tokens over all engines. */
  meanStepMs(now: number): number {
    if (now - this.#meanStepComputedAt < maxStepTimeAgeMs) {
      return this.#meanStepMs;
    }
    let sumMs = 0;
    for (const { view } of this.#engines.values()) {
      sumMs += view.stepTime.expectedMs(view.running);
    }
    this.#meanStepComputedAt = now;
    this.#meanStepMs = sumMs / Math.max(1, this.#engines.size);
    return this.#meanStepMs;
  }
}

const maxCachedModels = 64;
