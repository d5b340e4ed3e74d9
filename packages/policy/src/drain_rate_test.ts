import t from "tap";
import { DrainRate } from "./drain_rate.ts";

t.test("derives the wait from the rate at which work starts", (t) => {
  const drainRate = new DrainRate();
  t.equal(drainRate.waitMsFor(1_000), 0);
  for (let now = 0; now <= 20_000; now += 100) {
    drainRate.recordStart(50, now, true);
  }
  const waitMs = drainRate.waitMsFor(1_000);
  t.ok(waitMs > 1_800 && waitMs < 2_200, `wait ${waitMs} ms`);
  t.end();
});

t.test("ignores time without a backlog", (t) => {
  const drainRate = new DrainRate();
  for (let now = 0; now <= 10_000; now += 100) {
    drainRate.recordStart(50, now, true);
  }
  const before = drainRate.waitMsFor(1_000);
  for (let now = 10_000; now <= 12_000; now += 100) {
    drainRate.recordStart(0, now, false);
  }
  t.equal(drainRate.waitMsFor(1_000), before);
  t.end();
});
