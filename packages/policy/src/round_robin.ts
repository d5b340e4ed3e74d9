import type { Moment } from "@lavenderferry/runtime";
import type {
  Demand,
  EngineDescription,
  LoadReport,
  Placement,
} from "./dispatcher.ts";
import { UnqueuedDispatcher } from "./unqueued_dispatcher.ts";

const retryAfterMs = 1_000;

/** Baseline: cycles through the engines without regard to their load. */
export class RoundRobin extends UnqueuedDispatcher {
  readonly #modelsByEngine = new Map<string, readonly string[] | null>();
  #nextIndex = 0;

  addEngine(engine: EngineDescription): void {
    if (!this.#modelsByEngine.has(engine.id)) {
      this.#modelsByEngine.set(engine.id, null);
    }
  }

  removeEngine(id: string): void {
    this.#modelsByEngine.delete(id);
  }

  loadReported(id: string, report: LoadReport): void {
    if (report.draining) {
      this.#modelsByEngine.delete(id);
    } else if (this.#modelsByEngine.has(id)) {
      this.#modelsByEngine.set(id, report.models);
    }
  }

  place(demand: Demand, _at: Moment): Placement {
    const candidates = [...this.#modelsByEngine]
      .filter(([, models]) => models === null || models.includes(demand.model))
      .map(([id]) => id);
    const engine =
      candidates[this.#nextIndex++ % Math.max(1, candidates.length)];
    if (engine === undefined) {
      return {
        kind: "refuse",
        error: this.#modelsByEngine.size === 0
          ? "no_upstream"
          : "unknown_model",
        retryAfterMs,
        reason: this.#modelsByEngine.size === 0 ? "no_engine" : "no_model",
        figures: { engines: this.#modelsByEngine.size },
      };
    }
    return {
      kind: "dispatch",
      engine,
      priority: 0,
      reason: "next",
      figures: { engines: candidates.length },
    };
  }
}
