import t from "tap";
import { deadlineOf, Estimator } from "./estimator.ts";
import { OutputLengths } from "./output_lengths.ts";
import { demandOf } from "./testing/demand_of.ts";

t.test("longer outputs cost more and must start earlier", (t) => {
  const lengths = new OutputLengths();
  const short = demandOf({ workClass: "tag" });
  const long = demandOf({ workClass: "report" });
  for (let index = 0; index < 200; index++) {
    lengths.learn(short, 8);
    lengths.learn(long, 400);
  }
  const estimator = new Estimator(lengths);
  const [less, more] = [short, long].map((each) => estimator.estimate(each));
  t.ok(less !== undefined && more !== undefined);
  if (less !== undefined && more !== undefined) {
    t.ok(more.cost > 100 * less.cost);
    t.ok(deadlineOf(long, more, 25) < deadlineOf(short, less, 25));
  }
  t.end();
});

t.test("without lengths the prior is used", (t) => {
  const estimate = new Estimator(null).estimate(demandOf());
  t.ok(estimate.outputTokens > 32);
  t.end();
});
