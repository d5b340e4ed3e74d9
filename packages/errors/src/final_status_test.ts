import t from "tap";
import { readFinalStatus } from "./final_status.ts";

t.test("only the statuses of final answers are read", (t) => {
  const statuses = [undefined, NaN, -1, 0, 99, 100, 101, 199, 200.5, 600, 999];
  t.strictSame(statuses.map(readFinalStatus), statuses.map(() => null));
  t.strictSame([200, 204, 404, 599].map(readFinalStatus), [200, 204, 404, 599]);
  t.end();
});
