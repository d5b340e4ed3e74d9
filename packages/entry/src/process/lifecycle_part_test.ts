import t from "tap";
import type { EntryEffect } from "../effects.ts";
import type { EntryEvent } from "../events.ts";
import {
  createFixture,
  effectsOf,
  reduceEvent,
} from "../fixtures/entry_fixture.ts";
import type { EntryState } from "../state.ts";

type SetTimer = Extract<EntryEffect, { kind: "set_timer" }>;

const startMs = 1_000;

function at(monotonic: number) {
  return { monotonic, wall: monotonic };
}

function requestGeneration(
  state: EntryState,
  requestId: string,
  change: Partial<Extract<EntryEvent, { kind: "generation_requested" }>> = {},
) {
  const effects = reduceEvent(state, {
    kind: "generation_requested",
    readerId: `reader of ${requestId}`,
    requestId,
    workspace: "clinic",
    workClass: "report",
    model: "base",
    prompt: "Survey",
    maxTokens: 100,
    stream: true,
    traceParent: undefined,
    ...change,
  }, at(startMs));
  const [start] = effectsOf(effects, "start_generation");
  return {
    attemptId: start?.attemptId ?? "",
    generationId: start?.request.generationId ?? "",
  };
}

function requestCall(
  state: EntryState,
  requestId: string,
  key: string | null,
) {
  return reduceEvent(state, {
    kind: "call_requested",
    readerId: `reader of ${requestId}`,
    requestId,
    workspace: "clinic",
    workClass: "report",
    service: "booking",
    method: key === null ? "GET" : "POST",
    path: "/slots",
    contentType: undefined,
    body: "",
    key,
    digest: "digest",
    traceParent: undefined,
  }, at(startMs));
}

function commitClaim(state: EntryState, callId: string, monotonic = startMs) {
  const result = { kind: "committed", versions: [1] } as const;
  const event = { kind: "record_committed", callId, result } as const;
  return reduceEvent(state, event, at(monotonic));
}

/** Stops the entry and fires its timers in order, up to the exit. */
function runStop(
  state: EntryState,
  observe: (effect: EntryEffect, ms: number) => void = () => undefined,
): readonly EntryEffect[] {
  const effects = [
    ...reduceEvent(state, { kind: "stop_requested" }, at(startMs)),
  ];
  const timers: SetTimer[] = effectsOf(effects, "set_timer").slice();
  while (effectsOf(effects, "exit").length === 0) {
    timers.sort((a, b) => a.at - b.at);
    const due = timers.shift();
    if (due === undefined) {
      throw new Error("The entry does not exit");
    }
    const event = { kind: "timer_fired", timer: due.timer } as const;
    const next = reduceEvent(state, event, at(due.at));
    effects.push(...next);
    next.forEach((effect) => observe(effect, due.at));
    timers.push(...effectsOf(next, "set_timer"));
  }
  return effects;
}

function failuresOf(effects: readonly EntryEffect[]) {
  return effectsOf(effects, "fail_reader").map(({ readerId, occurrence }) => {
    const { kind, notRun } = occurrence;
    return { readerId, kind, notRun };
  });
}

function endedRequestsOf(effects: readonly EntryEffect[]) {
  return effectsOf(effects, "log")
    .filter(({ sentence }) => sentence === "Ended an open request")
    .map(({ fields }) => fields);
}

t.test("the forced exit answers the generations that are open", (t) => {
  const state = createFixture("a", at(startMs));
  const whole = { stream: false } as const;
  const sent = requestGeneration(state, "sent", whole);
  const run = requestGeneration(state, "run", whole);
  const tokens = [{ index: 0, text: "a" }];
  reduceEvent(state, { kind: "tokens_received", ...run, tokens }, at(startMs));
  const effects = runStop(state);
  t.strictSame(failuresOf(effects), [
    {
      readerId: "reader of sent",
      kind: "generation_lost",
      notRun: "unknown",
    },
    { readerId: "reader of run", kind: "generation_lost", notRun: false },
  ]);
  t.match(endedRequestsOf(effects), [
    { request: "sent", reason: "process_stopped", error: "generation_lost" },
    { request: "run", reason: "process_stopped", error: "generation_lost" },
  ]);
  t.strictSame(
    effectsOf(effects, "cancel_generation").map((cancel) =>
      cancel.generationId
    ),
    [sent.generationId, run.generationId],
  );
  t.match(state.decisions.findBySubject("run").at(-1), {
    kind: "drop",
    reason: "process_stopped",
  });
  t.end();
});

t.test("the forced exit refuses queued generations as not run", (t) => {
  const state = createFixture("a", at(startMs));
  const prompt = "x".repeat(80_000);
  for (let index = 0; index < 100 && state.waiting.size === 0; index++) {
    requestGeneration(state, `r${index}`, { prompt });
  }
  t.equal(state.waiting.size, 1);
  const [queued] = state.waiting.keys();
  const effects = runStop(state);
  const readerId = `reader of ${queued}`;
  t.strictSame(
    failuresOf(effects).filter((failure) => failure.readerId === readerId),
    [{ readerId, kind: "draining", notRun: true }],
  );
  const error = "draining";
  t.match(
    endedRequestsOf(effects).filter(({ request }) => request === queued),
    [{ request: queued, reason: "process_stopped", error }],
  );
  t.equal(state.waiting.size, 0);
  t.end();
});

t.test("the forced exit answers the calls that are open", (t) => {
  const state = createFixture("a", at(startMs));
  requestCall(state, "read", null);
  requestCall(state, "claiming", "k1");
  const [claim] = effectsOf(
    requestCall(state, "dispatched", "k2"),
    "commit_record",
  );
  commitClaim(state, claim?.callId ?? "");
  const effects = runStop(state);
  t.strictSame(failuresOf(effects), [
    { readerId: "reader of read", kind: "upstream_timeout", notRun: "unknown" },
    { readerId: "reader of claiming", kind: "draining", notRun: true },
    {
      readerId: "reader of dispatched",
      kind: "upstream_timeout",
      notRun: "unknown",
    },
  ]);
  t.match(endedRequestsOf(effects), [
    { request: "read", reason: "process_stopped" },
    { request: "claiming", reason: "process_stopped" },
    { request: "dispatched", reason: "process_stopped" },
  ]);
  t.end();
});

t.test("a call that the stop refuses is not sent when its claim ends", (t) => {
  const state = createFixture("a", at(startMs));
  const [claim] = effectsOf(
    requestCall(state, "claiming", "k1"),
    "commit_record",
  );
  runStop(state);
  const effects = commitClaim(state, claim?.callId ?? "", 99_000);
  t.equal(effectsOf(effects, "call_service").length, 0);
  t.match(effectsOf(effects, "commit_record"), [
    { write: { ifVersion: 1, value: { state: "released" } } },
  ]);
  t.end();
});

t.test("final answers have two seconds until the forced exit", (t) => {
  const state = createFixture("a", at(startMs));
  requestGeneration(state, "sent", { stream: false });
  const times: Record<string, number> = {};
  runStop(state, ({ kind }, ms) => {
    times[kind] = ms;
  });
  const exitMs = startMs + 2 * state.settings.stopMs + 10_000;
  t.equal(times["fail_reader"], exitMs - 2_000);
  t.equal(times["exit"], exitMs);
  t.end();
});

t.test("a second Drain leaves the planned stop as it is", (t) => {
  const state = createFixture("a", at(startMs));
  requestGeneration(state, "sent", { stream: false });
  reduceEvent(state, { kind: "stop_requested" }, at(startMs));
  const effects = reduceEvent(state, { kind: "stop_requested" }, at(startMs));
  t.strictSame(effects, []);
  t.end();
});

t.test("only the second signal ends the process at once", (t) => {
  const state = createFixture("a", at(startMs));
  requestGeneration(state, "sent", { stream: false });
  const exits =
    (["stop_requested", "stop_signalled", "stop_signalled"] as const)
      .map((kind) =>
        effectsOf(reduceEvent(state, { kind }, at(startMs)), "exit")
      );
  t.strictSame(exits, [[], [], [{ kind: "exit", immediate: true }]]);
  t.end();
});

t.test("a stream whose first token follows the hand-over is moved", (t) => {
  const state = createFixture("a", at(startMs));
  const attempt = requestGeneration(state, "late");
  reduceEvent(state, { kind: "stop_requested" }, at(startMs));
  const timer = { kind: "hand_over_streams" } as const;
  reduceEvent(state, { kind: "timer_fired", timer }, at(startMs));
  const tokens = [{ index: 0, text: "a" }];
  const received = { kind: "tokens_received", ...attempt, tokens } as const;
  const effects = reduceEvent(state, received, at(startMs));
  const readerId = "reader of late";
  t.match(effects.filter((effect) => "readerId" in effect), [
    { kind: "send_tokens", readerId },
    { kind: "move_reader", readerId },
  ]);
  t.equal(state.generations.size, 0);
  t.end();
});
