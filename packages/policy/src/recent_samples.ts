import type { Moment, Random } from "@lavenderferry/runtime";
import type { Demand } from "./dispatcher.ts";
import type { Engine } from "./engine.ts";
import { randomCandidateCount, sampleEngines } from "./engine_choice.ts";

/**
 * The engines that have reported recently, the latest one last. A process of a
 * large fleet has asked few of them, so that it need not search all engines.
 */
export class RecentSamples {
  readonly #engines = new Set<Engine>();

  /** Adds an engine that has just reported. */
  add(engine: Engine): void {
    this.#engines.delete(engine);
    this.#engines.add(engine);
  }

  /**
   * Selects random ones of these engines; `null`: there are none. It is used where
   * a decision does not wait for reports.
   */
  select(
    isEligible: (engine: Engine) => boolean,
    random: Random,
    at: Moment,
  ): readonly Engine[] | null {
    const engines = this.#engines.size === 0
      ? []
      : this.#list(at).filter(isEligible);
    return engines.length === 0
      ? null
      : sampleEngines(engines, random, randomCandidateCount);
  }

  /**
   * Returns the milliseconds until one of these engines is expected to have room
   * for a demand; 0 if there are none.
   */
  estimateRoomMs({ model, promptTokens }: Demand, at: Moment): number {
    const estimates = this.#list(at).filter((engine) => engine.serves(model))
      .map(({ view }) => view.estimateRoomMs(promptTokens, at));
    return estimates.length === 0 ? 0 : Math.min(...estimates);
  }

  #list(at: Moment): readonly Engine[] {
    for (const engine of this.#engines) {
      if (engine.view.hasRecentSample(at)) {
        break;
      }
      this.#engines.delete(engine);
    }
    return [...this.#engines].filter(({ view }) => view.hasRecentSample(at));
  }
}
