import t from "tap";
import type { Outcome } from "./measured_request.ts";
import { metTargets } from "./measured_request.ts";
import { figuresOf, percentilesOf } from "./measures.ts";
import { pageOf } from "./report_page.ts";
import { tableOf } from "./report_table.ts";
import { scenarios } from "./scenarios.ts";

const targets = {
  firstTokenMs: 1_000,
  betweenTokensMs: 50,
  stallMs: 200,
  preemptionsPerThousand: 10,
  completionMs: 3_000,
  percent: 95,
};

function outcomeOf(members: Partial<Outcome>): Outcome {
  return {
    arrival: {
      atMs: 6_000,
      workClass: "tag",
      workspace: "tag-0",
      outputTokens: 3,
      prompt: "",
    },
    endedAtMs: 6_500,
    firstTokenMs: 100,
    completionMs: 500,
    gapsMs: [20, 30],
    stallMs: 0,
    whole: true,
    problem: null,
    ...members,
  };
}

t.test("targets that are met and missed", (t) => {
  const table: readonly [Partial<Outcome>, boolean][] = [
    [{}, true],
    [{ firstTokenMs: 1_001 }, false],
    [{ firstTokenMs: null }, false],
    [{ completionMs: 3_001 }, false],
    [{ stallMs: 201 }, false],
    [{ gapsMs: [60, 70] }, false],
    [{ gapsMs: [20, 70] }, true],
    [{ whole: false, problem: "overloaded" }, false],
  ];
  for (const [members, expected] of table) {
    t.equal(metTargets(outcomeOf(members), targets), expected);
  }
  t.end();
});

t.test("percentiles of known values", (t) => {
  const values = Array.from({ length: 100 }, (_, index) => index + 1);
  const { p50, p95, p99 } = percentilesOf(values);
  t.strictSame([p50, p95, p99].map((each) => Math.round(each)), [50, 95, 99]);
  t.strictSame(percentilesOf([]), { p50: 0, p95: 0, p99: 0 });
  t.end();
});

t.test("the report of a small run", (t) => {
  const scenario = scenarios.get("kowalczyk");
  t.ok(scenario !== undefined);
  if (scenario !== undefined) {
    const outcomes = [
      outcomeOf({}),
      outcomeOf({ whole: false, problem: "overloaded", firstTokenMs: null }),
      outcomeOf({ arrival: { ...outcomeOf({}).arrival, atMs: 10 } }),
    ];
    const engines = { preemptions: 1, finished: 10 };
    const run = { policy: "adaptive", outcomes, engines, wastedTokens: 5 };
    const figures = [figuresOf(scenario, run)];
    t.matchSnapshot(tableOf(figures), "table");
    t.matchSnapshot(pageOf("kowalczyk", "Seed 1 <note>", figures), "page");
  }
  t.end();
});
