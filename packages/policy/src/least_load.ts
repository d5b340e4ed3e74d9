import type {
  Demand,
  EngineDescription,
  LoadReport,
  Placement,
} from "./dispatcher.ts";
import { UnqueuedDispatcher } from "./unqueued_dispatcher.ts";

const retryAfterMs = 1_000;

/** Baseline: chooses the engine with the least load in its last report. */
export class LeastLoad extends UnqueuedDispatcher {
  readonly #reportByEngine = new Map<string, LoadReport | null>();

  addEngine(engine: EngineDescription): void {
    if (!this.#reportByEngine.has(engine.id)) {
      this.#reportByEngine.set(engine.id, null);
    }
  }

  removeEngine(id: string): void {
    this.#reportByEngine.delete(id);
  }

  loadReported(id: string, report: LoadReport): void {
    if (this.#reportByEngine.has(id)) {
      this.#reportByEngine.set(id, report);
    }
  }

  place(demand: Demand): Placement {
    const candidates = [...this.#reportByEngine]
      .filter(([, report]) => serves(report, demand.model))
      .sort(([, a], [, b]) => loadOf(a) - loadOf(b));
    const [engine, report] = candidates[0] ?? [];
    if (engine === undefined) {
      const reports = [...this.#reportByEngine.values()];
      const modelUnknown = reports.length > 0 &&
        reports.every((reported) => !reported?.models.includes(demand.model));
      return {
        kind: "refuse",
        error: modelUnknown ? "unknown_model" : "no_upstream",
        retryAfterMs,
        reason: modelUnknown ? "no_model" : "no_engine",
        figures: { engines: this.#reportByEngine.size },
      };
    }
    return {
      kind: "dispatch",
      engine,
      priority: 0,
      reason: "least_load",
      figures: { load: loadOf(report ?? null) },
    };
  }
}

function serves(report: LoadReport | null, model: string): boolean {
  return report === null ||
    (!report.draining && report.models.includes(model));
}

function loadOf(report: LoadReport | null): number {
  return report === null ? 0 : report.running + report.waiting;
}
