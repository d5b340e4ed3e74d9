import type { Targets } from "@lavenderferry/configuration";

const maxRisk = 0.3;
const minRisk = 0.001;
const minFactor = 0.1;
const maxFactor = 1.5;
const loosenFactor = 1.005;
const tightenFactor = 0.95;
const decayPerReport = 0.995;
/** Decayed number of finished generations before the bound is adjusted. */
const minFinishedGenerations = 5;

/**
 * Admissible probability of a memory overflow. It starts at the preemption
 * target and is adjusted by the preemptions that engines report.
 */
export class RiskBound {
  /** Ratio of the bound to the preemption target. */
  #factor = 1;
  #preemptions = 0;
  #finished = 0;
  #strictestTarget = Infinity;

  /** Adjusts the bound by an engine's counts since its previous report. */
  observe(preemptions: number, finished: number): void {
    // The counts of an engine start again at 0 when it restarts.
    if (preemptions < 0 || finished < 0) {
      return;
    }
    this.#preemptions = this.#preemptions * decayPerReport + preemptions;
    this.#finished = this.#finished * decayPerReport + finished;
    if (
      this.#finished < minFinishedGenerations ||
      this.#strictestTarget === Infinity
    ) {
      return;
    }
    const observedRate = this.#preemptions / this.#finished;
    if (observedRate > this.#strictestTarget) {
      this.#factor = Math.max(minFactor, this.#factor * tightenFactor);
    } else if (observedRate < this.#strictestTarget / 2) {
      this.#factor = Math.min(maxFactor, this.#factor * loosenFactor);
    }
  }

  /** Returns the bound for a class with the given targets. */
  boundFor(targets: Targets): number {
    const targetRate = targets.preemptionsPerThousand / 1_000;
    this.#strictestTarget = Math.min(this.#strictestTarget, targetRate);
    const bound = this.#factor * targetRate;
    return Math.min(maxRisk, Math.max(minRisk, bound));
  }
}
