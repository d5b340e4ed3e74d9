import t from "tap";
import { RiskBound } from "./risk_bound.ts";
import { demandOf } from "./testing/demand_of.ts";

const { targets } = demandOf();

t.test("starts at the target", (t) => {
  t.equal(new RiskBound().boundFor(targets), 0.02);
  t.end();
});

t.test("lowers the bound on too many preemptions", (t) => {
  const bound = new RiskBound();
  bound.boundFor(targets);
  for (let index = 0; index < 100; index++) {
    bound.observe(1, 10);
  }
  t.ok(bound.boundFor(targets) < 0.02);
  t.end();
});

t.test("raises the bound on few preemptions up to a limit", (t) => {
  const bound = new RiskBound();
  bound.boundFor(targets);
  for (let index = 0; index < 10_000; index++) {
    bound.observe(0, 10);
  }
  const raised = bound.boundFor(targets);
  t.ok(raised > 0.02 && raised <= 0.3);
  t.end();
});

t.test("ignores negative counts after an engine restart", (t) => {
  const bound = new RiskBound();
  bound.boundFor(targets);
  bound.observe(-5, -100);
  t.equal(bound.boundFor(targets), 0.02);
  t.end();
});
