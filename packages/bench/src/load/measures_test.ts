import t from "tap";
import type { RequestOutcome } from "./measured_request.ts";
import { meetsTargets } from "./measured_request.ts";
import { computeFigures, computePercentiles } from "./measures.ts";
import { renderPage } from "./report_page.ts";
import { formatTable } from "./report_table.ts";
import { scenarios } from "./scenarios.ts";

const targets = {
  firstTokenMs: 1_000,
  betweenTokensMs: 50,
  stallMs: 200,
  preemptionsPerThousand: 10,
  completionMs: 3_000,
  percent: 95,
};

function createOutcome(overrides: Partial<RequestOutcome>): RequestOutcome {
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
    tokenGapsMs: [20, 30],
    stallMs: 0,
    complete: true,
    problemKind: null,
    ...overrides,
  };
}

t.test("an outcome must be complete and within every target", (t) => {
  const table: readonly [Partial<RequestOutcome>, boolean][] = [
    [{}, true],
    [{ firstTokenMs: 1_001 }, false],
    [{ firstTokenMs: null }, false],
    [{ completionMs: 3_001 }, false],
    [{ stallMs: 201 }, false],
    [{ tokenGapsMs: [60, 70] }, false],
    [{ tokenGapsMs: [20, 70] }, true],
    [{ complete: false, problemKind: "overloaded" }, false],
  ];
  for (const [overrides, expected] of table) {
    t.equal(meetsTargets(createOutcome(overrides), targets), expected);
  }
  t.end();
});

t.test("percentiles match known values and are zero without values", (t) => {
  const values = Array.from({ length: 100 }, (_, index) => index + 1);
  const { p50, p95, p99 } = computePercentiles(values);
  t.strictSame(
    [p50, p95, p99].map((milliseconds) => Math.round(milliseconds)),
    [50, 95, 99],
  );
  t.strictSame(computePercentiles([]), { p50: 0, p95: 0, p99: 0 });
  t.end();
});

t.test("the table and the page show the figures without the warm-up", (t) => {
  const scenario = scenarios.get("kowalczyk");
  t.ok(scenario !== undefined);
  if (scenario !== undefined) {
    const outcomes = [
      createOutcome({}),
      createOutcome({
        complete: false,
        problemKind: "overloaded",
        firstTokenMs: null,
      }),
      createOutcome({ arrival: { ...createOutcome({}).arrival, atMs: 10 } }),
    ];
    const engines = { preemptions: 1, finished: 10 };
    const run = { policy: "adaptive", outcomes, engines, wastedTokens: 5 };
    const figures = [computeFigures(scenario, run)];
    t.matchSnapshot(formatTable(figures), "table");
    t.matchSnapshot(renderPage("kowalczyk", "Seed 1 <note>", figures), "page");
  }
  t.end();
});
