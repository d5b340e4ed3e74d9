import t from "tap";
import { errorKindNames, errorKinds } from "./error_kinds.ts";
import { KnownError, toFailure } from "./failure.ts";
import { toProblem } from "./problem.ts";

t.test("every kind has a stable answer", (t) => {
  t.matchSnapshot(
    errorKindNames.map((kind) => toProblem({ kind, detail: "Detail" })),
  );
  t.end();
});

// Callers may retry a 429 blindly, so it must mean that nothing ran.
t.test("no kind whose `notRun` is unknown has status 429", (t) => {
  for (const kind of errorKindNames) {
    const { notRun, status } = errorKinds[kind];
    if (notRun === "unknown") {
      t.not(status, 429, `${kind} is not an overload answer`);
    }
  }
  t.end();
});

t.test("toFailure keeps a failure and wraps anything else", (t) => {
  const failure = new KnownError("Busy", {
    kind: "overloaded",
    retryAfterMs: 5,
  });
  t.equal(toFailure(failure), failure);
  t.equal(failure.notRun, true);
  t.equal(toFailure(new Error("Broken")).kind, "internal");
  t.equal(toFailure("text").message, "text");
  t.end();
});
