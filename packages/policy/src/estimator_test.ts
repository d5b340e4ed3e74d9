import t from "tap";
import { estimateStartDeadline, Estimator } from "./estimator.ts";
import { OutputLengths } from "./output_lengths.ts";
import { demandOf } from "./testing/demand_of.ts";

t.test("gives longer outputs a higher cost and an earlier deadline", (t) => {
  const lengths = new OutputLengths();
  const short = demandOf({ workClass: "tag" });
  const long = demandOf({ workClass: "report" });
  for (let index = 0; index < 200; index++) {
    lengths.learn(short, 8);
    lengths.learn(long, 400);
  }
  const estimator = new Estimator(lengths);
  const [less, more] = [short, long].map((demand) =>
    estimator.estimate(demand)
  );
  t.ok(less !== undefined && more !== undefined);
  if (less !== undefined && more !== undefined) {
    t.ok(more.cost > 100 * less.cost);
    t.ok(
      estimateStartDeadline(long, more, 25) <
        estimateStartDeadline(short, less, 25),
    );
  }
  t.end();
});

t.test("uses the prior without learned lengths", (t) => {
  const estimate = new Estimator(null).estimate(demandOf());
  t.ok(estimate.outputTokens > 32);
  t.end();
});
