import type { EngineDescription, LoadReport } from "./dispatcher.ts";
import { Engine } from "./engine.ts";

const stepTimeAgeMs = 250;

/** Engines that serve one model. */
export interface Serving {
  readonly engines: readonly Engine[];
  /** Largest key-value memory, in tokens. */
  readonly memoryTokens: number;
}

/** All engines, with lists by model that are kept until something changes. */
export class EnginePool {
  readonly #engines = new Map<string, Engine>();
  readonly #serving = new Map<string, Serving>();
  readonly #lagCorrection: boolean;
  #stepMs = 0;
  #stepAt = -Infinity;

  constructor(lagCorrection: boolean) {
    this.#lagCorrection = lagCorrection;
  }

  /** Whether any engine takes new work. */
  get open(): boolean {
    return [...this.#engines.values()].some((engine) => engine.open);
  }

  /** All engines. */
  values(): Iterable<Engine> {
    return this.#engines.values();
  }

  /** Returns an engine by its id. */
  get(id: string): Engine | undefined {
    return this.#engines.get(id);
  }

  /** Adds an engine, or opens it again. */
  add(description: EngineDescription): void {
    const engine = this.#engines.get(description.id);
    if (engine?.open === true) {
      return;
    }
    this.#serving.clear();
    if (engine === undefined) {
      const added = new Engine(description, this.#lagCorrection);
      this.#engines.set(description.id, added);
    } else {
      engine.open = true;
    }
  }

  /** Gives an engine no new work. */
  close(engine: Engine): void {
    engine.open = false;
    this.#serving.clear();
    this.forgetIdle(engine);
  }

  /** Forgets a closed engine whose last work has ended. */
  forgetIdle(engine: Engine): void {
    if (!engine.open && engine.view.flights.size === 0) {
      this.#engines.delete(engine.id);
    }
  }

  /** Notes a report; only some changes concern the lists. */
  reported(former: LoadReport | null, report: LoadReport): void {
    const same = former?.draining === report.draining &&
      former.memoryTokens === report.memoryTokens &&
      former.models.join() === report.models.join();
    if (!same) {
      this.#serving.clear();
    }
  }

  /** Returns the engines that take work of a model. */
  serving(model: string): Serving {
    const known = this.#serving.get(model);
    if (known !== undefined) {
      return known;
    }
    const engines = [...this.#engines.values()].filter((engine) =>
      engine.serves(model)
    );
    const memoryTokens = Math.max(
      0,
      ...engines.map(({ view }) => view.report?.memoryTokens ?? Infinity),
    );
    const serving = { engines, memoryTokens };
    if (this.#serving.size < maxModels) {
      this.#serving.set(model, serving);
    }
    return serving;
  }

  /** Returns the mean time between tokens over all engines. */
  stepMs(now: number): number {
    if (now - this.#stepAt < stepTimeAgeMs) {
      return this.#stepMs;
    }
    let sum = 0;
    for (const { view } of this.#engines.values()) {
      sum += view.stepTime.expected(view.running);
    }
    this.#stepAt = now;
    this.#stepMs = sum / Math.max(1, this.#engines.size);
    return this.#stepMs;
  }
}

const maxModels = 64;
