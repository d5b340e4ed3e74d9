import type { Moment } from "@lavenderferry/runtime";
import type {
  Demand,
  EngineDescription,
  LoadReport,
  Placement,
} from "./dispatcher.ts";
import { UnqueuedDispatcher } from "./unqueued_dispatcher.ts";

const retryAfterMs = 1_000;

/** Baseline: each engine in turn, without regard to load. */
export class RoundRobin extends UnqueuedDispatcher {
  readonly #engines = new Map<string, readonly string[] | null>();
  #next = 0;

  addEngine(engine: EngineDescription): void {
    if (!this.#engines.has(engine.id)) {
      this.#engines.set(engine.id, null);
    }
  }

  removeEngine(id: string): void {
    this.#engines.delete(id);
  }

  report(id: string, report: LoadReport): void {
    if (report.draining) {
      this.#engines.delete(id);
    } else if (this.#engines.has(id)) {
      this.#engines.set(id, report.models);
    }
  }

  place(demand: Demand, _at: Moment): Placement {
    const candidates = [...this.#engines]
      .filter(([, models]) => models === null || models.includes(demand.model))
      .map(([id]) => id);
    const engine = candidates[this.#next++ % Math.max(1, candidates.length)];
    if (engine === undefined) {
      return {
        kind: "refuse",
        error: this.#engines.size === 0 ? "no_upstream" : "unknown_model",
        retryAfterMs,
        reason: this.#engines.size === 0 ? "no_engine" : "no_model",
        figures: { engines: this.#engines.size },
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
