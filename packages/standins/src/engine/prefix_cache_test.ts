import t from "tap";
import { PrefixCache } from "./prefix_cache.ts";

const delayedAndLossy = { lagMs: 100, loseEvery: 2 };

t.test("cache events are delayed and lost as configured", (t) => {
  const cache = new PrefixCache(10_000);
  for (const at of [0, 10, 20, 30]) {
    cache.store([`block-${at}`], at);
  }
  const sequences = (now: number, faults = delayedAndLossy) =>
    cache.eventsAfter(0, faults, now).map(({ sequence }) => sequence);
  t.strictSame(sequences(99), []);
  t.strictSame(sequences(115), [1]);
  t.strictSame(sequences(200), [1, 3]);
  t.strictSame(sequences(30, { lagMs: 0, loseEvery: 0 }), [1, 2, 3, 4]);
  t.end();
});
