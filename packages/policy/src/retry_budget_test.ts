import t from "tap";
import { RetryBudget } from "./retry_budget.ts";

t.test("limits retries to a share of first attempts", (t) => {
  const budget = new RetryBudget();
  let spent = 0;
  while (budget.tryWithdraw()) {
    spent += 1;
  }
  t.equal(spent, 10);
  for (let index = 0; index < 25; index++) {
    budget.deposit();
  }
  t.strictSame([1, 2, 3].map(() => budget.tryWithdraw()), [true, true, false]);
  t.end();
});
