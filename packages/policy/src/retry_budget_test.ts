import t from "tap";
import { RetryBudget } from "./retry_budget.ts";

t.test("limits retries to a share of first attempts", (t) => {
  const budget = new RetryBudget();
  let spent = 0;
  while (budget.spend()) {
    spent += 1;
  }
  t.equal(spent, 10);
  for (let index = 0; index < 25; index++) {
    budget.earn();
  }
  t.strictSame([1, 2, 3].map(() => budget.spend()), [true, true, false]);
  t.end();
});
