import fc from "fast-check";
import t from "tap";
import {
  bucketOf,
  lengthBuckets,
  mixTail,
  priorTail,
} from "./length_distribution.ts";
import { exceedance, MemoryForecast } from "./overflow_risk.ts";

function tailAt(tokens: number) {
  const counts = new Float32Array(lengthBuckets);
  counts[bucketOf(tokens)] = 1_000;
  return mixTail(counts, priorTail, 0.001);
}

function footprintOf(heldTokens: number, length: number) {
  return {
    heldTokens,
    producedTokens: 0,
    maxTokens: 4_096,
    tail: tailAt(length),
  };
}

t.test("computes exceedance probabilities of the normal distribution", (t) => {
  const cases = [
    { headroom: 0, variance: 1, expected: 0.5 },
    { headroom: 1.644_85, variance: 1, expected: 0.05 },
    { headroom: -1.644_85, variance: 1, expected: 0.95 },
    { headroom: 4.652_7, variance: 4, expected: 0.01 },
    { headroom: 1, variance: 0, expected: 0 },
    { headroom: -1, variance: 0, expected: 1 },
  ];
  for (const { headroom, variance, expected } of cases) {
    t.ok(Math.abs(exceedance(headroom, variance) - expected) < 1e-4);
  }
  t.end();
});

t.test("includes the growth of generations in the risk", (t) => {
  const forecast = new MemoryForecast();
  for (let index = 0; index < 10; index++) {
    forecast.add(footprintOf(20, 200));
  }
  t.ok(forecast.overflowRiskWith(footprintOf(20, 200), 1_000) > 0.9);
  t.ok(forecast.overflowRiskWith(footprintOf(20, 200), 4_000) < 0.01);
  t.end();
});

t.test("ignores an overflow after the added generation has ended", (t) => {
  const forecast = new MemoryForecast();
  for (let index = 0; index < 10; index++) {
    forecast.add(footprintOf(20, 400));
  }
  t.ok(forecast.overflowRiskWith(footprintOf(20, 400), 1_000) > 0.9);
  t.ok(forecast.overflowRiskWith(footprintOf(20, 6), 1_000) < 0.01);
  t.end();
});

t.test("never lowers the risk when more memory is in use", (t) => {
  const sizes = fc.array(fc.integer({ min: 10, max: 500 }), { maxLength: 20 });
  fc.assert(
    fc.property(sizes, (tokens) => {
      const forecast = new MemoryForecast();
      const added = footprintOf(50, 100);
      let previous = forecast.overflowRiskWith(added, 2_000);
      for (const addedTokens of tokens) {
        forecast.addConstant(addedTokens);
        const next = forecast.overflowRiskWith(added, 2_000);
        if (next < previous - 1e-9) {
          return false;
        }
        previous = next;
      }
      return true;
    }),
    { seed: 3 },
  );
  t.end();
});
