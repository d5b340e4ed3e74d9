import type { Moment, Random } from "@lavenderferry/runtime";
import type { Member } from "./member.ts";

/** Mean time between attempts to reach a listed member that is gone. */
const probeIntervalMs = 5_000;

/** Relative jitter of that time. */
const jitterShare = 0.2;

/** Chooses when a listed member that is gone is called again, and which. */
export class MemberProbe {
  readonly #random: Random;
  #nextProbeAt = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  /** Returns the member to call now, of those that are gone; often none. */
  choose(gone: readonly Member[], at: Moment): readonly Member[] {
    if (at.monotonic < this.#nextProbeAt) {
      return [];
    }
    this.#nextProbeAt = at.monotonic +
      this.#random.jitter(probeIntervalMs, jitterShare);
    const member = gone[this.#random.integerBelow(Math.max(1, gone.length))];
    return member === undefined ? [] : [member];
  }
}
