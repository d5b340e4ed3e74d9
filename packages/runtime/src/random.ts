import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { JumpableRandomGenerator } from "pure-rand/types/JumpableRandomGenerator";

/** A seeded random number generator, so that reducers are reproducible. */
export class Random {
  readonly #generator: JumpableRandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 up to but not including 1. */
  fraction(): number {
    return (this.#generator.next() >>> 0) / 0x1_0000_0000;
  }

  /** Returns an integer from 0 up to but not including the bound. */
  integerBelow(bound: number): number {
    return Math.floor(this.fraction() * bound);
  }

  /** Varies the milliseconds by up to the given share in both directions. */
  jitter(milliseconds: number, share: number): number {
    return milliseconds * (1 + share * (2 * this.fraction() - 1));
  }
}
