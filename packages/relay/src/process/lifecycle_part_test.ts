import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";

const checkStop = {
  kind: "timer_fired",
  timer: { kind: "check_stop" },
} as const;

/** Returns a relay with one engine and one instance of the plain service. */
function createStartedRelay(): RelayFixture {
  const relay = new RelayFixture();
  relay.learn([upstreamOf("e1"), upstreamOf("d1", { pool: "desk" })]);
  return relay;
}

function decisions(effects: readonly RelayEffect[], kind: string) {
  return only(effects, "log_decision").map(({ decision }) => decision)
    .filter((decision) => decision.kind === kind);
}

t.test("requests that the exit of the process ends are logged", (t) => {
  const relay = createStartedRelay();
  relay.generate();
  relay.reduce({ kind: "stop_requested" });
  const effects = relay.reduce(checkStop, 8_000);
  t.match(decisions(effects, "drop"), [
    { subject: "r1", reason: "process_stopped", figures: { upstream: "e1" } },
  ]);
  t.match(only(effects, "count"), [
    { counter: "refusals", reason: "upstream_lost" },
  ]);
  t.equal(only(effects, "exit").length, 1);
  t.end();
});

t.test("admissions log the time until a planned exit", (t) => {
  const relay = createStartedRelay();
  t.match(decisions(relay.request(), "admit"), [{
    figures: { stopsInMs: -1 },
  }]);
  relay.reduce({ kind: "stop_requested" });
  relay.wait(2_000);
  const effects = relay.request({ exchangeId: "x2" });
  t.match(decisions(effects, "admit"), [{ figures: { stopsInMs: 5_999 } }]);
  t.end();
});

t.test("a stopping relay refuses a generation that its exit would cut", (t) => {
  const relay = createStartedRelay();
  relay.reduce({ kind: "stop_requested" });
  relay.wait(3_150);
  const effects = relay.generate();
  t.match(only(effects, "send_failure"), [
    { error: "draining", notRun: true, retryAfterMs: Number },
  ]);
  t.equal(only(effects, "send_request").length, 0);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("a stopping relay serves what ends before its exit", (t) => {
  const relay = createStartedRelay();
  for (let index = 0; index < 8; index++) {
    const exchangeId = `g${index}`;
    const [sent] = only(relay.generate({ exchangeId }), "send_request");
    const attempt = { exchangeId, attemptId: sent?.attemptId ?? "" };
    const head = { status: 200, headers: [] };
    const events = { bytes: Buffer.from(""), count: 25, lastEventId: "25" };
    relay.reduce({ kind: "events_received", ...attempt, head, ...events }, 200);
    relay.reduce({
      kind: "stream_ended",
      ...attempt,
      head,
      framed: true,
    }, 1_000);
  }
  relay.reduce({ kind: "stop_requested" });
  relay.wait(2_000);
  const generation = {
    model: "m",
    promptTokens: 100,
    prefix: [],
    sharedBlocks: [],
  };
  const short = { generation: { ...generation, maxTokens: 400 } };
  t.equal(only(relay.generate(short), "send_request").length, 1);
  const long = { generation: { ...generation, maxTokens: 600 } };
  const effects = relay.generate({ exchangeId: "x2", ...long });
  t.match(only(effects, "send_failure"), [{ error: "draining" }]);
  t.equal(
    only(relay.request({ exchangeId: "x3", budgetMs: 2_000 }), "send_request")
      .length,
    1,
    "its deadline is before the exit",
  );
  t.end();
});

/** Lets eight quick answers of a route end, from which the next is estimated. */
function answerQuickly(relay: RelayFixture, path: string): void {
  for (let index = 0; index < 8; index++) {
    const exchangeId = `quick${index}`;
    const effects = path === "/write/1"
      ? relay.generate({ exchangeId })
      : relay.request({ exchangeId, path });
    const [sent] = only(effects, "send_request");
    const attempt = { exchangeId, attemptId: sent?.attemptId ?? "" };
    const head = { status: 200, headers: [] };
    if (path === "/write/1") {
      const events = { bytes: Buffer.from(""), count: 9, lastEventId: "9" };
      relay.reduce({ kind: "events_received", ...attempt, head, ...events });
      relay.reduce({ kind: "stream_ended", ...attempt, head, framed: true });
    } else {
      const answer = { ...head, body: Buffer.from("") };
      relay.reduce({ kind: "answer_received", ...attempt, answer }, 5);
    }
  }
}

// Estimates from quick answers let slow ones in, which the exit then cut.
t.test("what arrives late in a planned stop is answered whole or refused", (t) => {
  const checkPeriodMs = 100;
  for (const path of ["/book/1", "/look/1", "/write/1"]) {
    for (let arrivalMs = 0; arrivalMs < 7_700; arrivalMs += checkPeriodMs) {
      const relay = createStartedRelay();
      answerQuickly(relay, path);
      relay.reduce({ kind: "stop_requested" });
      relay.wait(arrivalMs);
      const effects = path === "/write/1"
        ? [...relay.generate()]
        : [...relay.request({ path })];
      const [sent] = only(effects, "send_request");
      if (sent !== undefined && path === "/write/1") {
        // An engine that is slow, but goes on.
        const { attemptId, exchangeId } = sent;
        const head = { status: 200, headers: [] };
        const events = { bytes: Buffer.from(""), count: 1, lastEventId: "1" };
        const ids = { attemptId, exchangeId };
        effects.push(
          ...relay.reduce({ kind: "events_received", ...ids, head, ...events }),
        );
      }
      const deadlines = only(effects, "set_timer")
        .filter(({ timer }) => timer.kind === "request_deadline");
      for (let index = 0; index < 100; index++) {
        const due = deadlines.filter(({ at }) =>
          at > relay.now && at <= relay.now + checkPeriodMs
        );
        const step = relay.reduce(checkStop, checkPeriodMs);
        effects.push(...step);
        for (const { timer } of due) {
          effects.push(...relay.reduce({ kind: "timer_fired", timer }, 0));
        }
        if (only(step, "exit").length > 0) {
          break;
        }
      }
      const isCut = only(effects, "abort_answer").length > 0;
      const isAnswered = only(effects, "send_failure").length === 1;
      const isEarly = arrivalMs <= 2_800;
      const outcome = `${path} ${arrivalMs} ms after the stop`;
      if (isCut ? !isEarly : !isAnswered) {
        t.fail(`${outcome} is ${isCut ? "cut" : "not answered"}`);
      }
    }
  }
  t.end();
});

t.test("no request is left unanswered when a stopping relay exits", (t) => {
  const relay = createStartedRelay();
  relay.generate();
  relay.reduce({ kind: "stop_requested" });
  const [request] = relay.state.requests.values();
  const effects = relay.reduce(checkStop, 7_850);
  t.match(only(effects, "send_failure"), [
    { error: "upstream_lost", notRun: "unknown", retryAfterMs: null },
  ]);
  t.match(only(effects, "drop_attempt"), [{ attemptId: request?.attemptId }]);
  t.equal(only(effects, "exit").length, 0, "the answer is sent before");
  t.end();
});

t.test("a queued request is refused before a stopping relay exits", (t) => {
  const relay = new RelayFixture();
  relay.learn([upstreamOf("d1", { pool: "desk", slots: 1 })]);
  relay.request();
  relay.request({ exchangeId: "x2", budgetMs: null });
  const waiting = [...relay.state.requests.values()]
    .filter(({ phase }) => phase === "waiting");
  t.equal(waiting.length, 1);
  relay.reduce({ kind: "stop_requested" });
  const effects = relay.reduce(checkStop, 7_850);
  t.match(
    only(effects, "send_failure").filter(({ notRun }) => notRun === true),
    [{ exchangeId: waiting[0]?.exchangeId, error: "draining" }],
  );
  t.end();
});

t.test("streams go on until a stopping relay exits", (t) => {
  const relay = createStartedRelay();
  const [sent] = only(relay.generate(), "send_request");
  relay.reduce({
    kind: "events_received",
    exchangeId: "x1",
    attemptId: sent?.attemptId ?? "",
    head: { status: 200, headers: [] },
    bytes: Buffer.from(""),
    count: 1,
    lastEventId: "1",
  });
  relay.reduce({ kind: "stop_requested" });
  t.equal(only(relay.reduce(checkStop, 7_850), "abort_answer").length, 0);
  const effects = relay.reduce(checkStop, 150);
  t.equal(only(effects, "abort_answer").length, 1);
  t.equal(only(effects, "exit").length, 1);
  t.end();
});

t.test("a relay that is exiting refuses requests that it would cut", (t) => {
  const relay = createStartedRelay();
  relay.reduce({ kind: "stop_requested" });
  const stopDeadline = relay.now + 8_000;
  const effects = relay.reduce(checkStop, 4_000);
  t.match(only(effects, "exit"), [{ deadline: stopDeadline }]);
  const late = relay.request({ budgetMs: 500 });
  t.match(only(late, "send_failure"), [{ error: "draining", notRun: true }]);
  t.end();
});

t.test("a queued repeat is not refused as not run when a relay exits", (t) => {
  const relay = new RelayFixture();
  const desk = (id: string) => upstreamOf(id, { pool: "desk", slots: 1 });
  relay.learn([desk("d1"), desk("d2")]);
  const [sent] = only(relay.request({ path: "/look/1" }), "send_request");
  relay.request({ exchangeId: "x2", path: "/look/2" });
  const attemptId = sent?.attemptId ?? "";
  const reason = "ECONNRESET";
  relay.reduce({ kind: "attempt_failed", attemptId, exchangeId: "x1", reason });
  t.match(relay.state.requests.get("x1"), { phase: "waiting", runs: 1 });
  relay.reduce({ kind: "stop_requested" });
  const failures = only(relay.reduce(checkStop, 7_850), "send_failure");
  t.match(failures.filter(({ exchangeId }) => exchangeId === "x1"), [
    { error: "upstream_lost", notRun: "unknown" },
  ]);
  t.end();
});
