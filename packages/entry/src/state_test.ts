import t from "tap";
import { createFixture } from "./fixtures/entry_fixture.ts";

const at = { monotonic: 0, wall: 0 };
const jitterMs = 1_000;

t.test("two epochs give different jitter", (t) => {
  const delays = ["a", "b"].map((epoch) =>
    createFixture(epoch, at).random.jitter(jitterMs, 0.5)
  );
  t.not(delays[0], delays[1]);
  t.end();
});

t.test("the same epoch gives the same jitter", (t) => {
  const delays = ["a", "a"].map((epoch) =>
    createFixture(epoch, at).random.jitter(jitterMs, 0.5)
  );
  t.equal(delays[0], delays[1]);
  t.end();
});
