import t from "tap";
import { createDecisionLog } from "./decision_log.ts";
import type { Decision } from "./decisions.ts";

function decisionOf(change: Partial<Decision> = {}): Decision {
  return {
    kind: "refuse",
    subject: "r1",
    reason: "overloaded",
    figures: { waitMs: 7 },
    at: 5_000,
    ...change,
  };
}

function logOf() {
  const lines: Record<string, unknown>[] = [];
  const write = (line: string) => {
    lines.push(JSON.parse(line) as Record<string, unknown>);
  };
  return { lines, log: createDecisionLog({ vm: "front-1" }, { write }) };
}

t.test("a decision is one line with its inputs", (t) => {
  const { lines, log } = logOf();
  log(decisionOf());
  t.match(lines, [{
    vm: "front-1",
    at: 5_000,
    kind: "refuse",
    subject: "r1",
    reason: "overloaded",
    figures: { waitMs: 7 },
  }]);
  t.end();
});

t.test("the volume is bounded, and what is left out is counted", (t) => {
  const { lines, log } = logOf();
  for (let index = 0; index < 1_000; index++) {
    log(decisionOf({ subject: `r${index}` }));
  }
  t.equal(lines.length, 50);
  log(decisionOf({ reason: "not_ready" }));
  t.equal(lines.length, 51, "another reason has a bound of its own");
  log(decisionOf({ at: 6_000 }));
  t.equal(lines.at(-1)?.["leftOut"], 950);
  t.end();
});
