import t from "tap";
import { createFixture } from "./fixtures/entry_fixture.ts";

const at = { monotonic: 0, wall: 0 };
const jitterMs = 1_000;

t.test("two processes do not jitter alike", (t) => {
  const waits = ["a", "b"].map((epoch) =>
    createFixture(epoch, at).random.jitter(jitterMs, 0.5)
  );
  t.not(waits[0], waits[1]);
  t.end();
});

t.test("one epoch jitters the same in every replay", (t) => {
  const waits = ["a", "a"].map((epoch) =>
    createFixture(epoch, at).random.jitter(jitterMs, 0.5)
  );
  t.equal(waits[0], waits[1]);
  t.end();
});
