import t from "tap";
import { checkHistory } from "./check_history.ts";
import type { HistoryRecord } from "./history_record.ts";
import type { ViolationKind } from "./violation.ts";
import { violationKinds } from "./violation.ts";

const at = 0;

function token(index: number, generation = "g-1", text = "a"): HistoryRecord {
  const expected = "a";
  const request = "r-1";
  return { kind: "token_read", at, request, generation, index, text, expected };
}

function ended(
  change: { whole?: boolean; marked?: boolean; tokens?: number } = {},
): HistoryRecord {
  const tokens = 2;
  return {
    kind: "answer_ended",
    at,
    request: "r-1",
    whole: true,
    marked: true,
    tokens,
    expectedTokens: tokens,
    ...change,
  };
}

function run(key = "k-1"): HistoryRecord {
  return { kind: "call_run", at, key, service: "booking" };
}

function answered(
  change: { notRun?: boolean | "unknown"; body?: string; own?: boolean } = {},
): HistoryRecord {
  const { notRun = false, body = "{}", own = true } = change;
  return {
    kind: "call_answered",
    at,
    key: "k-1",
    attempt: "k-1/anna",
    status: own ? 201 : 503,
    notRun,
    body,
    fromService: own,
  };
}

function seen(version: number, process = "entry-0"): HistoryRecord {
  return { kind: "configuration_seen", at, process, version };
}

function cost(
  kind: "cost_arose" | "cost_charged",
  amount: number,
): HistoryRecord {
  return { kind, at, workClass: "report", unit: "output", amount };
}

function leaving(closedFrom: number): HistoryRecord {
  return { kind: "upstream_leaving", at, upstream: "engine-0", closedFrom };
}

function started(startedAt: number): HistoryRecord {
  const upstream = "engine-0";
  return { kind: "work_started", at: startedAt, upstream, work: "g-1" };
}

const refused = answered({ notRun: true, own: false });
const unknown = answered({ notRun: "unknown", own: false });

const broken: Record<ViolationKind, readonly HistoryRecord[]> = {
  token_repeated: [token(0), token(1), token(1)],
  token_skipped: [token(0), token(2)],
  other_generation: [token(0), token(1, "g-2")],
  foreign_answer: [token(0), token(1, "g-1", "b")],
  whole_without_end: [token(0), ended({ marked: false })],
  short_answer: [token(0), ended({ tokens: 1 })],
  not_run_that_ran: [refused, run()],
  double_run: [run(), answered(), run()],
  answer_without_run: [answered()],
  answer_changed: [run(), answered(), answered({ body: "[]" })],
  configuration_reverted: [seen(1), seen(3), seen(2)],
  cost_lost: [cost("cost_arose", 3), cost("cost_charged", 2)],
  cost_doubled: [cost("cost_arose", 3), cost("cost_charged", 6)],
  work_on_leaving: [leaving(10), started(5), started(11)],
};

t.test("each broken history shows its violation", (t) => {
  for (const kind of Object.values(violationKinds)) {
    const found = checkHistory(broken[kind]);
    t.strictSame(found.map((each) => each.kind), [kind], kind);
  }
  t.end();
});

t.test("a trace holds only the records that show the violation", (t) => {
  t.matchSnapshot(Object.values(broken).flatMap(checkHistory));
  t.end();
});

const sound: Record<string, readonly HistoryRecord[]> = {
  "an empty history": [],
  "a whole answer": [token(0), token(1), ended()],
  "an answer that is known to be broken": [
    token(0),
    ended({ whole: false, marked: false, tokens: 1 }),
  ],
  "a refused call": [refused],
  "a call that ran after a refusal": [refused, run(), answered()],
  "a call that ran with an unknown answer": [unknown, run()],
  "an unknown answer without a run": [unknown],
  "a replayed answer": [run(), answered(), answered()],
  "versions of two processes": [seen(2), seen(1, "entry-1"), seen(2)],
  "cost in two batches": [
    cost("cost_arose", 3),
    cost("cost_charged", 1),
    cost("cost_charged", 2),
  ],
  "work before the upstream closed": [leaving(10), started(10)],
};

t.test("a sound history shows none", (t) => {
  for (const [name, records] of Object.entries(sound)) {
    t.strictSame(checkHistory(records), [], name);
  }
  t.end();
});
