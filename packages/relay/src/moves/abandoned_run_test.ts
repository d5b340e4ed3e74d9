import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import { maxAbandonedRuns } from "./abandoned_run.ts";
import type { CopyOutcome } from "../relay_event.ts";
import type { RelayEffect } from "../relay_effect.ts";

const engines = ["e1", "e22", "e333"].map((id) => upstreamOf(id));
const notRunning = { kind: "not_running" } as const;
const unknown = { kind: "unknown", detail: "timed out" } as const;

interface Stream {
  readonly exchangeId: string;
  readonly attemptId: string;
  readonly upstream: string;
  readonly copyUpstream: string | null;
}

let nextRequest = 1;

function createRelay(): RelayFixture {
  const relay = new RelayFixture();
  relay.learn(engines);
  return relay;
}

/** Starts a stream that has had events and has a complete copy. */
function startStream(relay: RelayFixture): Stream {
  const exchangeId = `x${nextRequest}`;
  const requestId = `r${nextRequest++}`;
  const [sent] = only(
    relay.generate({ exchangeId, requestId }),
    "send_request",
  );
  const attemptId = sent?.attemptId ?? "";
  for (const afterMs of [10, 3_000]) {
    receiveEvents(relay, { exchangeId, attemptId }, afterMs);
  }
  const request = relay.state.requests.get(exchangeId);
  const { upstream = "", copyUpstream = null } = request ?? {};
  return { exchangeId, attemptId, upstream, copyUpstream };
}

function receiveEvents(
  relay: RelayFixture,
  stream: Pick<Stream, "exchangeId" | "attemptId">,
  afterMs: number,
): readonly RelayEffect[] {
  const { exchangeId, attemptId } = stream;
  return relay.reduce({
    kind: "events_received",
    exchangeId,
    attemptId,
    head: { status: 200, headers: [] },
    bytes: Buffer.from("id: 7\ndata: x\n\n"),
    count: 1,
    lastEventId: "7",
  }, afterMs);
}

/** Lets the engine of a stream leave while the copy is complete. */
function leave(
  relay: RelayFixture,
  { exchangeId, attemptId, upstream }: Stream,
): readonly RelayEffect[] {
  relay.list(
    engines.map((vm) =>
      vm.id === upstream ? { ...vm, state: "leaving" as const } : vm
    ),
  );
  const timer = { kind: "depart", exchangeId } as const;
  relay.reduce({ kind: "timer_fired", timer });
  const report = { keptTokens: 9_000, freeTokens: 0, runs: [], detail: "" };
  const kind = "copy_checked";
  return relay.reduce({ kind, attemptId, exchangeId, report });
}

/** Lets the caller of a stream leave. */
function disconnect(
  relay: RelayFixture,
  { exchangeId }: Stream,
): readonly RelayEffect[] {
  return relay.reduce({ kind: "caller_disconnected", exchangeId });
}

/** Answers the call to stop a run that the effects contain. */
function answer(
  relay: RelayFixture,
  effects: readonly RelayEffect[],
  outcome: CopyOutcome,
): readonly RelayEffect[] {
  const [stop] = only(effects, "stop_generation");
  const { requestId = "", from = "" } = stop ?? {};
  const kind = "generation_stopped";
  return relay.reduce({ kind, requestId, from, outcome });
}

function addressOf(id: string | null) {
  return engines.find((vm) => vm.id === id)?.address;
}

// The close of a connection was taken for the end of the run, so that a stream ran
// at two engines where the first one works on.
t.test("a run is stopped beside the resumption from its copy", (t) => {
  const relay = createRelay();
  const stream = startStream(relay);
  const effects = leave(relay, stream);
  const { upstream, copyUpstream } = stream;
  t.match(only(effects, "send_request"), [{
    target: { address: addressOf(copyUpstream) },
  }]);
  const [stop] = only(effects, "stop_generation");
  t.equal(stop?.from, addressOf(upstream));
  t.not(stop?.to, addressOf(upstream));
  t.not(stop?.to, addressOf(copyUpstream), "the request runs there");
  const order = effects.map(({ kind }) => kind);
  t.ok(order.indexOf("drop_attempt") < order.indexOf("stop_generation"));
  t.end();
});

t.test("a run whose answer can not be read on is stopped", (t) => {
  const relay = createRelay();
  const stream = startStream(relay);
  const { exchangeId, attemptId, upstream } = stream;
  const kind = "attempt_failed";
  const reason = "foreign_answer";
  const effects = relay.reduce({ kind, exchangeId, attemptId, reason });
  t.equal(only(effects, "send_request").length, 1);
  t.match(only(effects, "stop_generation"), [{ from: addressOf(upstream) }]);
  t.end();
});

// The engine worked on a stream that nobody read, until its end.
t.test("the engine of a stream is asked to stop when its caller leaves", (t) => {
  const relay = createRelay();
  const stream = startStream(relay);
  const effects = disconnect(relay, stream);
  const from = addressOf(stream.upstream);
  t.match(only(effects, "stop_generation"), [{ from }]);
  t.strictSame(answer(relay, effects, notRunning).length, 1, "it is counted");
  t.equal(relay.state.abandonedRuns.size, 0);
  t.end();
});

t.test("a run that its engine has stopped is not stopped again", (t) => {
  const relay = createRelay();
  const stream = startStream(relay);
  const request = relay.state.requests.get(stream.exchangeId);
  for (const stop of ["stopped", "ended"] as const) {
    if (request !== undefined) {
      request.stop = stop;
      relay.state.requests.set(stream.exchangeId, request);
    }
    t.strictSame(only(disconnect(relay, stream), "stop_generation"), []);
  }
  t.end();
});

t.test("a complete stream and one past its deadline need no stop", (t) => {
  const relay = createRelay();
  const { exchangeId, attemptId } = startStream(relay);
  const head = { status: 200, headers: [] };
  const attempt = { exchangeId, attemptId, head };
  const kind = "stream_ended";
  const ended = relay.reduce({ kind, ...attempt, framed: true });
  t.strictSame(only(ended, "stop_generation"), []);
  const late = startStream(relay);
  const timer = {
    kind: "request_deadline",
    exchangeId: late.exchangeId,
  } as const;
  const expired = relay.reduce({ kind: "timer_fired", timer }, 40_000);
  t.equal(only(expired, "drop_attempt").length, 1);
  t.strictSame(only(expired, "stop_generation"), []);
  t.end();
});

// One call that failed left the run at work beside the one that went on.
t.test("a stop without an answer is asked for again, a few times", (t) => {
  const relay = createRelay();
  let effects = disconnect(relay, startStream(relay));
  const delaysMs: number[] = [];
  for (;;) {
    const outcome = answer(relay, effects, unknown);
    const [timer] = only(outcome, "set_timer");
    if (timer === undefined) {
      t.match(only(outcome, "log_decision"), [{
        decision: { reason: "stop_unconfirmed" },
      }]);
      break;
    }
    delaysMs.push(timer.at - relay.now);
    effects = relay.reduce({ kind: "timer_fired", timer: timer.timer });
  }
  t.strictSame(delaysMs, [100, 250, 600, 1_500]);
  t.equal(relay.state.abandonedRuns.size, 0);
  t.end();
});

// What was kept of requests that had ended grew with the callers that left.
t.test("the number of stops that are awaited is bounded", (t) => {
  const relay = createRelay();
  let asked = 0;
  for (let index = 0; index < maxAbandonedRuns + 8; index++) {
    const effects = disconnect(relay, startStream(relay));
    asked += only(effects, "stop_generation").length;
  }
  t.equal(asked, maxAbandonedRuns);
  t.equal(relay.state.abandonedRuns.size, maxAbandonedRuns);
  t.end();
});

t.test("a stop that its engine has carried out is logged and counted", (t) => {
  const relay = createRelay();
  const effects = leave(relay, startStream(relay));
  const outcome = { kind: "no_room", handle: "h", detail: "" } as const;
  const stopped = answer(relay, effects, outcome);
  t.match(only(stopped, "log_decision"), [{
    decision: { reason: "stopped_after_close", figures: { calls: 1 } },
  }]);
  t.match(only(stopped, "count"), [{ counter: "stops", reason: "stopped" }]);
  t.end();
});

t.test("engines that end runs with their connections are not asked for long", (t) => {
  const relay = createRelay();
  const asked = Array.from({ length: 24 }, () => {
    const effects = disconnect(relay, startStream(relay));
    const isAsked = only(effects, "stop_generation").length === 1;
    if (isAsked) {
      answer(relay, effects, notRunning);
    }
    return isAsked;
  });
  t.ok(asked.filter(Boolean).length <= 3 * engines.length);
  t.equal(asked.at(-1), false);
  const effects = leave(relay, startStream(relay));
  t.equal(
    only(effects, "stop_generation").length,
    1,
    "as it goes on elsewhere",
  );
  t.end();
});

t.test("an engine that goes on with one run is always asked", (t) => {
  const relay = new RelayFixture();
  relay.learn(engines);
  const outcome = { kind: "copied", handle: "h" } as const;
  for (let index = 0; index < 24; index++) {
    const effects = disconnect(relay, startStream(relay));
    t.equal(only(effects, "stop_generation").length, 1);
    answer(relay, effects, index < engines.length * 4 ? outcome : notRunning);
  }
  t.end();
});
