import type { Targets } from "@lavenderferry/configuration";

const maxRisk = 0.3;
const minRisk = 0.001;
const minFactor = 0.1;
const maxFactor = 1.5;
const loosen = 1.005;
const tighten = 0.95;
const decay = 0.995;
const minFinished = 5;

/**
 * Highest probability of overflow that keeps to the preemption targets. It is
 * worked out again from the preemptions that engines report.
 */
export class RiskBound {
  #factor = 1;
  #preemptions = 0;
  #finished = 0;
  #perGeneration = Infinity;

  /** Takes how many generations an engine preempted and finished. */
  observe(preemptions: number, finished: number): void {
    if (preemptions < 0 || finished < 0) {
      return;
    }
    this.#preemptions = this.#preemptions * decay + preemptions;
    this.#finished = this.#finished * decay + finished;
    if (this.#finished < minFinished || this.#perGeneration === Infinity) {
      return;
    }
    const measured = this.#preemptions / this.#finished;
    if (measured > this.#perGeneration) {
      this.#factor = Math.max(minFactor, this.#factor * tighten);
    } else if (measured < this.#perGeneration / 2) {
      this.#factor = Math.min(maxFactor, this.#factor * loosen);
    }
  }

  /** Returns the bound for a class. */
  boundFor(targets: Targets): number {
    const perGeneration = targets.preemptionsPerThousand / 1_000;
    this.#perGeneration = Math.min(this.#perGeneration, perGeneration);
    const bound = this.#factor * perGeneration;
    return Math.min(maxRisk, Math.max(minRisk, bound));
  }
}
