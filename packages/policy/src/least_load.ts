import type {
  Demand,
  EngineDescription,
  LoadReport,
  Placement,
} from "./dispatcher.ts";
import { UnqueuedDispatcher } from "./unqueued_dispatcher.ts";

const retryAfterMs = 1_000;

/** Baseline: the engine whose lagged report shows the least load. */
export class LeastLoad extends UnqueuedDispatcher {
  readonly #reports = new Map<string, LoadReport | null>();

  addEngine(engine: EngineDescription): void {
    if (!this.#reports.has(engine.id)) {
      this.#reports.set(engine.id, null);
    }
  }

  removeEngine(id: string): void {
    this.#reports.delete(id);
  }

  report(id: string, report: LoadReport): void {
    if (this.#reports.has(id)) {
      this.#reports.set(id, report);
    }
  }

  place(demand: Demand): Placement {
    const candidates = [...this.#reports]
      .filter(([, report]) => serves(report, demand.model))
      .sort(([, a], [, b]) => load(a) - load(b));
    const [engine, report] = candidates[0] ?? [];
    if (engine === undefined) {
      const reports = [...this.#reports.values()];
      const unknown = reports.length > 0 &&
        reports.every((each) => !each?.models.includes(demand.model));
      return {
        kind: "refuse",
        error: unknown ? "unknown_model" : "no_upstream",
        retryAfterMs,
        reason: unknown ? "no_model" : "no_engine",
        figures: { engines: this.#reports.size },
      };
    }
    return {
      kind: "dispatch",
      engine,
      priority: 0,
      reason: "least_load",
      figures: { load: load(report ?? null) },
    };
  }
}

function serves(report: LoadReport | null, model: string): boolean {
  return report === null ||
    (!report.draining && report.models.includes(model));
}

function load(report: LoadReport | null): number {
  return report === null ? 0 : report.running + report.waiting;
}
