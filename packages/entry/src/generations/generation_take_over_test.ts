import t from "tap";
import {
  createFixture,
  effectsOf,
  reduceEvent,
} from "../fixtures/entry_fixture.ts";
import type { EntryState } from "../state.ts";
import type { Token } from "./generation_event.ts";

const reconnectGraceMs = 3_000;

function at(monotonic: number) {
  return { monotonic, wall: monotonic };
}

function createTokens(from: number, until: number): Token[] {
  const list: Token[] = [];
  for (let index = from; index < until; index++) {
    list.push({ index, text: String(index) });
  }
  return list;
}

/** Starts a generation and receives its first tokens. */
function startGeneration(state: EntryState, count: number) {
  const started = reduceEvent(state, {
    kind: "generation_requested",
    readerId: "reader",
    requestId: "request",
    workspace: "clinic",
    workClass: "report",
    model: "base",
    prompt: "Survey",
    maxTokens: 100,
    stream: true,
    traceParent: undefined,
  }, at(1_000));
  const [start] = effectsOf(started, "start_generation");
  const attemptId = start?.attemptId ?? "";
  const generationId = start?.request.generationId ?? "";
  if (count > 0) {
    const event = { attemptId, generationId, tokens: createTokens(0, count) };
    reduceEvent(state, { kind: "tokens_received", ...event }, at(1_010));
  }
  const token = state.generations.get(generationId)?.stream;
  if (token === undefined) {
    throw new Error("The generation did not start");
  }
  return { attemptId, generationId, token };
}

function chargedTokens(state: EntryState): number {
  state.usage.close({ now: 2_000, versionAt: () => 1 });
  const records = state.usage.unsettled(0, 1)[0]?.records ?? [];
  return records.filter(({ unit }) => unit === "output")
    .reduce((sum, { amount }) => sum + amount, 0);
}

t.test("a generation is cancelled if its reader leaves before a token", (t) => {
  const state = createFixture("a", at(1_000));
  startGeneration(state, 0);
  const left = { kind: "reader_left", readerId: "reader" } as const;
  const effects = reduceEvent(state, left, at(1_020));
  t.equal(effectsOf(effects, "cancel_generation").length, 1);
  t.equal(state.generations.size, 0);
  t.end();
});

t.test("a reader that leaves after the first token may resume", (t) => {
  const state = createFixture("a", at(1_000));
  const { generationId, token } = startGeneration(state, 3);
  const left = { kind: "reader_left", readerId: "reader" } as const;
  const [graceTimer] = effectsOf(
    reduceEvent(state, left, at(1_020)),
    "set_timer",
  );
  t.match(graceTimer, {
    timer: { kind: "cancel_orphan" },
    at: 1_020 + reconnectGraceMs,
  });
  const position = { token, index: 1 };
  const resume = {
    kind: "stream_resumed",
    readerId: "reader-2",
    position,
  } as const;
  const resumed = reduceEvent(state, resume, at(1_500));
  t.match(effectsOf(resumed, "resume_generation"), [{ from: 2 }]);
  const timer = { kind: "cancel_orphan", generationId } as const;
  const fired = { kind: "timer_fired", timer } as const;
  t.strictSame(reduceEvent(state, fired, at(1_020 + reconnectGraceMs)), []);
  t.end();
});

t.test("a take-over charges each token once and does not cancel", (t) => {
  const previous = createFixture("a", at(1_000));
  const next = createFixture("b", at(1_000));
  const { generationId, token } = startGeneration(previous, 4);
  const position = { token, index: 1 };
  const resume = {
    kind: "stream_resumed",
    readerId: "reader-2",
    position,
  } as const;
  const [notification] = effectsOf(
    reduceEvent(next, resume, at(1_100)),
    "take_over",
  );
  t.equal(notification?.address, previous.peerAddress);
  const yielded = reduceEvent(
    previous,
    { kind: "generation_taken_over", generationId, by: "b" },
    at(1_110),
  );
  t.strictSame(
    yielded.map(({ kind }) => kind),
    ["count", "drop_attempt", "drop_reader"],
  );
  const answered = reduceEvent(
    next,
    { kind: "take_over_answered", generationId, chargedIndex: 4 },
    at(1_120),
  );
  const [attempt] = effectsOf(answered, "resume_generation");
  t.equal(attempt?.from, 2);
  const attemptId = attempt?.attemptId ?? "";
  const event = { attemptId, generationId, tokens: createTokens(2, 6) };
  reduceEvent(next, { kind: "tokens_received", ...event }, at(1_130));
  t.equal(chargedTokens(previous), 4);
  t.equal(chargedTokens(next), 2);
  t.end();
});

t.test("a resume waits for an unlisted engine until a deadline", (t) => {
  const previous = createFixture("a", at(1_000));
  const next = createFixture("b", at(1_000), []);
  const { generationId, token } = startGeneration(previous, 2);
  const position = { token, index: 1 };
  const resume = {
    kind: "stream_resumed",
    readerId: "reader-2",
    position,
  } as const;
  reduceEvent(next, resume, at(1_100));
  const answer = { kind: "take_over_answered", generationId, chargedIndex: 2 };
  const waiting = reduceEvent(next, answer as never, at(1_120));
  t.match(effectsOf(waiting, "set_timer"), [{
    timer: { kind: "retry_generation" },
  }]);
  const timer = { kind: "retry_generation", generationId } as const;
  const expired = reduceEvent(next, { kind: "timer_fired", timer }, at(11_100));
  t.match(effectsOf(expired, "fail_reader"), [{
    occurrence: { kind: "no_upstream", notRun: false },
  }]);
  t.equal(next.generations.size, 0);
  t.end();
});

t.test("a previous entry that does not answer is notified again", (t) => {
  const previous = createFixture("a", at(1_000));
  const next = createFixture("b", at(1_000));
  const { generationId, token } = startGeneration(previous, 2);
  const position = { token, index: 1 };
  const resume = {
    kind: "stream_resumed",
    readerId: "reader-2",
    position,
  } as const;
  reduceEvent(next, resume, at(1_100));
  const answer = {
    kind: "take_over_answered",
    generationId,
    chargedIndex: null,
  };
  const effects = reduceEvent(next, answer as never, at(2_100));
  t.equal(effectsOf(effects, "resume_generation").length, 1);
  const timer = { kind: "retry_take_over", generationId } as const;
  t.match(effectsOf(effects, "set_timer"), [{ timer }]);
  const again = reduceEvent(next, { kind: "timer_fired", timer }, at(3_100));
  t.match(effectsOf(again, "take_over"), [{ address: previous.peerAddress }]);
  t.end();
});
