import t from "tap";
import { DrainRate } from "./drain_rate.ts";

t.test("derives the wait from the rate at which work starts", (t) => {
  const drain = new DrainRate();
  t.equal(drain.waitMsFor(1_000), 0);
  for (let now = 0; now <= 20_000; now += 100) {
    drain.recordStart(50, now, true);
  }
  const wait = drain.waitMsFor(1_000);
  t.ok(wait > 1_800 && wait < 2_200, `wait ${wait}`);
  t.end();
});

t.test("ignores time without a backlog", (t) => {
  const drain = new DrainRate();
  for (let now = 0; now <= 10_000; now += 100) {
    drain.recordStart(50, now, true);
  }
  const before = drain.waitMsFor(1_000);
  for (let now = 10_000; now <= 12_000; now += 100) {
    drain.recordStart(0, now, false);
  }
  t.equal(drain.waitMsFor(1_000), before);
  t.end();
});
