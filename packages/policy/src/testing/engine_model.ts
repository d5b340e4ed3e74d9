import type { EngineLoad } from "../dispatcher.ts";

const memoryTokens = 26_900;
const prefillTokensPerMs = 14;
const stepMs = 7;
const stepMsPerRun = 0.12;
/** Milliseconds by which the figures of a report are old. */
const reportAgeMs = 500;
const reportIntervalMs = 100;

/** A generation in the model of an engine. */
export interface ModelRun {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  prefilledTokens: number;
  producedTokens: number;
}

interface Figures {
  readonly running: number;
  readonly usedTokens: number;
}

/**
 * Deterministic model of an engine: prompts are processed one after another, all
 * generations advance together, and memory that runs out preempts the youngest.
 */
export class EngineModel {
  readonly runs = new Map<string, ModelRun>();
  preemptions = 0;
  readonly #history: Figures[] = [];

  constructor(readonly id: string) {}

  get usedTokens(): number {
    let sum = 0;
    for (const { promptTokens, producedTokens } of this.runs.values()) {
      sum += promptTokens + producedTokens;
    }
    return sum;
  }

  /** Starts a generation; returns `false` if it has no room. */
  start(run: ModelRun): boolean {
    if (this.usedTokens + run.promptTokens > memoryTokens) {
      return false;
    }
    this.runs.set(run.id, run);
    return true;
  }

  /** Advances by a step and returns the generations that have ended. */
  advance(now: number, milliseconds: number): readonly ModelRun[] {
    let prefillTokens = prefillTokensPerMs * milliseconds;
    const tokens = milliseconds / (stepMs + stepMsPerRun * this.runs.size);
    const ended: ModelRun[] = [];
    for (const run of this.runs.values()) {
      const rest = run.promptTokens - run.prefilledTokens;
      if (rest > 0) {
        const done = Math.min(rest, prefillTokens);
        prefillTokens -= done;
        run.prefilledTokens += done;
        continue;
      }
      run.producedTokens += tokens;
      if (run.producedTokens >= run.outputTokens) {
        ended.push(run);
        this.runs.delete(run.id);
      }
    }
    while (this.usedTokens > memoryTokens) {
      this.#preemptYoungest();
    }
    if (now % reportIntervalMs === 0) {
      const { usedTokens, runs } = this;
      this.#history.push({ running: runs.size, usedTokens });
    }
    return ended;
  }

  #preemptYoungest(): void {
    const run = [...this.runs.values()].findLast(({ prefilledTokens }) =>
      prefilledTokens > 0
    );
    if (run === undefined) {
      throw new RangeError("A prompt alone exceeds the memory");
    }
    this.preemptions += 1;
    this.runs.delete(run.id);
    // It is computed again once there is room, which the model leaves out.
  }

  /** Returns the load as the engine reports it, which is late. */
  report(): EngineLoad {
    const lag = reportAgeMs / reportIntervalMs;
    const figures = this.#history.at(-1 - lag) ??
      { running: 0, usedTokens: 0 };
    return { ...figures, waiting: 0, memoryTokens, heldTokens: 0 };
  }
}
