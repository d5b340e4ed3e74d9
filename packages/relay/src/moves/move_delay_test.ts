import t from "tap";
import { CopyRate } from "./copy_rate.ts";
import { moveDelayMs } from "./move_delay.ts";

const runs = [
  { requestId: "c", tokens: 3_600, events: 1 },
  { requestId: "a", tokens: 1_800, events: 1 },
  { requestId: "b", tokens: 1_800, events: 1 },
];

t.test("smaller generations are moved first, with ties broken by id", (t) => {
  const delaysMs = ["a", "b", "c"].map((id) => moveDelayMs(id, runs, 9));
  t.strictSame(delaysMs, [0, 240, 480]);
  t.end();
});

t.test("a generation missing from the engine's list has no delay", (t) => {
  t.equal(moveDelayMs("new", runs, 9), 0);
  t.end();
});

t.test("the copy rate converges to the rate of recent copies", (t) => {
  const rate = new CopyRate();
  for (let count = 0; count < 40; count += 1) {
    rate.observe(3_600, 200);
  }
  t.ok(Math.abs(rate.tokensPerMs - 18) < 0.1);
  const before = rate.tokensPerMs;
  rate.observe(0, 100);
  rate.observe(100, 0);
  t.equal(rate.tokensPerMs, before, "empty and instant copies are ignored");
  t.end();
});
