import t from "tap";
import { checkHistory } from "./check_history.ts";
import type { HistoryRecord } from "./history_record.ts";
import type { ViolationKind } from "./violation.ts";
import { violationKinds } from "./violation.ts";

const at = 0;

function tokenRead(
  index: number,
  generation = "g-1",
  text = "a",
): HistoryRecord {
  const expected = "a";
  const request = "r-1";
  return { kind: "token_read", at, request, generation, index, text, expected };
}

function answerEnded(
  overrides: { whole?: boolean; marked?: boolean; tokens?: number } = {},
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
    ...overrides,
  };
}

function callRun(key = "k-1"): HistoryRecord {
  return { kind: "call_run", at, key, service: "booking" };
}

function callAnswered(
  options: {
    notRun?: boolean | "unknown";
    body?: string;
    fromService?: boolean;
  } = {},
): HistoryRecord {
  const { notRun = false, body = "{}", fromService = true } = options;
  return {
    kind: "call_answered",
    at,
    key: "k-1",
    attempt: "k-1/anna",
    status: fromService ? 201 : 503,
    notRun,
    body,
    fromService,
  };
}

function configurationSeen(
  version: number,
  process = "entry-0",
): HistoryRecord {
  return { kind: "configuration_seen", at, process, version };
}

function cost(
  kind: "cost_arose" | "cost_charged",
  amount: number,
): HistoryRecord {
  return { kind, at, workClass: "report", unit: "output", amount };
}

function upstreamLeaving(closedFrom: number): HistoryRecord {
  return { kind: "upstream_leaving", at, upstream: "engine-0", closedFrom };
}

function workStarted(startedAt: number): HistoryRecord {
  const upstream = "engine-0";
  return { kind: "work_started", at: startedAt, upstream, work: "g-1" };
}

const refusal = callAnswered({ notRun: true, fromService: false });
const unknownOutcome = callAnswered({ notRun: "unknown", fromService: false });

const violatingHistories: Record<ViolationKind, readonly HistoryRecord[]> = {
  token_repeated: [tokenRead(0), tokenRead(1), tokenRead(1)],
  token_skipped: [tokenRead(0), tokenRead(2)],
  other_generation: [tokenRead(0), tokenRead(1, "g-2")],
  foreign_answer: [tokenRead(0), tokenRead(1, "g-1", "b")],
  whole_without_end: [tokenRead(0), answerEnded({ marked: false })],
  short_answer: [tokenRead(0), answerEnded({ tokens: 1 })],
  not_run_that_ran: [refusal, callRun()],
  double_run: [callRun(), callAnswered(), callRun()],
  answer_without_run: [callAnswered()],
  answer_changed: [callRun(), callAnswered(), callAnswered({ body: "[]" })],
  configuration_reverted: [
    configurationSeen(1),
    configurationSeen(3),
    configurationSeen(2),
  ],
  cost_lost: [cost("cost_arose", 3), cost("cost_charged", 2)],
  cost_doubled: [cost("cost_arose", 3), cost("cost_charged", 6)],
  work_on_leaving: [upstreamLeaving(10), workStarted(5), workStarted(11)],
};

t.test("each violating history yields its kind of violation", (t) => {
  for (const kind of Object.values(violationKinds)) {
    const violations = checkHistory(violatingHistories[kind]);
    t.strictSame(violations.map((violation) => violation.kind), [kind], kind);
  }
  t.end();
});

t.test("a trace has only the records that prove the violation", (t) => {
  t.matchSnapshot(Object.values(violatingHistories).flatMap(checkHistory));
  t.end();
});

const validHistories: Record<string, readonly HistoryRecord[]> = {
  "an empty history": [],
  "a complete answer": [tokenRead(0), tokenRead(1), answerEnded()],
  "an incomplete answer that is not taken as complete": [
    tokenRead(0),
    answerEnded({ whole: false, marked: false, tokens: 1 }),
  ],
  "a refused call": [refusal],
  "a call that ran after a refusal": [refusal, callRun(), callAnswered()],
  "a call that ran though its outcome is unknown": [unknownOutcome, callRun()],
  "an unknown outcome without a run": [unknownOutcome],
  "a replayed answer": [callRun(), callAnswered(), callAnswered()],
  "different versions at two processes": [
    configurationSeen(2),
    configurationSeen(1, "entry-1"),
    configurationSeen(2),
  ],
  "cost charged in two batches": [
    cost("cost_arose", 3),
    cost("cost_charged", 1),
    cost("cost_charged", 2),
  ],
  "work started before the upstream closed": [
    upstreamLeaving(10),
    workStarted(10),
  ],
};

t.test("a valid history has no violations", (t) => {
  for (const [name, records] of Object.entries(validHistories)) {
    t.strictSame(checkHistory(records), [], name);
  }
  t.end();
});
