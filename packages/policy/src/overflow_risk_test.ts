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

function running(tokens: number, length: number) {
  return { tokens, done: 0, maxTokens: 4_096, tail: tailAt(length) };
}

t.test("the normal tail", (t) => {
  const cases = [
    { room: 0, variance: 1, expected: 0.5 },
    { room: 1.644_85, variance: 1, expected: 0.05 },
    { room: -1.644_85, variance: 1, expected: 0.95 },
    { room: 4.652_7, variance: 4, expected: 0.01 },
    { room: 1, variance: 0, expected: 0 },
    { room: -1, variance: 0, expected: 1 },
  ];
  for (const { room, variance, expected } of cases) {
    t.ok(Math.abs(exceedance(room, variance) - expected) < 1e-4);
  }
  t.end();
});

t.test("growth counts, not only what is held now", (t) => {
  const forecast = new MemoryForecast();
  for (let index = 0; index < 10; index++) {
    forecast.add(running(20, 200));
  }
  t.ok(forecast.riskWith(running(20, 200), 1_000) > 0.9);
  t.ok(forecast.riskWith(running(20, 200), 4_000) < 0.01);
  t.end();
});

t.test("a short generation is not kept out by a later overflow", (t) => {
  const forecast = new MemoryForecast();
  for (let index = 0; index < 10; index++) {
    forecast.add(running(20, 400));
  }
  t.ok(forecast.riskWith(running(20, 400), 1_000) > 0.9);
  t.ok(forecast.riskWith(running(20, 6), 1_000) < 0.01);
  t.end();
});

t.test("more held memory never lowers the risk", (t) => {
  const sizes = fc.array(fc.integer({ min: 10, max: 500 }), { maxLength: 20 });
  fc.assert(
    fc.property(sizes, (tokens) => {
      const forecast = new MemoryForecast();
      const added = running(50, 100);
      let former = forecast.riskWith(added, 2_000);
      for (const each of tokens) {
        forecast.addConstant(each);
        const next = forecast.riskWith(added, 2_000);
        if (next < former - 1e-9) {
          return false;
        }
        former = next;
      }
      return true;
    }),
    { seed: 3 },
  );
  t.end();
});
