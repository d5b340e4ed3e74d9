import t from "tap";
import { CopyRate } from "./copy_rate.ts";
import { turnOf } from "./move_turn.ts";

const runs = [
  { requestId: "c", tokens: 3_600 },
  { requestId: "a", tokens: 1_800 },
  { requestId: "b", tokens: 1_800 },
];

t.test("small generations go first, and ids decide among equal ones", (t) => {
  const turns = ["a", "b", "c"].map((id) => turnOf(id, runs, 9));
  t.strictSame(turns, [0, 240, 480]);
  t.end();
});

t.test("a generation that the engine did not list yet goes first", (t) => {
  t.equal(turnOf("new", runs, 9), 0);
  t.end();
});

t.test("the rate follows what copies take", (t) => {
  const rate = new CopyRate();
  for (let count = 0; count < 40; count += 1) {
    rate.observe(3_600, 200);
  }
  t.ok(Math.abs(rate.tokensPerMs - 18) < 0.1);
  const before = rate.tokensPerMs;
  rate.observe(0, 100);
  rate.observe(100, 0);
  t.equal(rate.tokensPerMs, before, "what says nothing is left out");
  t.end();
});
