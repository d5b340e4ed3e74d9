import t from "tap";
import {
  only,
  RelayFixture,
  routeOf,
  routingOf,
  upstreamOf,
} from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";

function createDeskUpstream(id: string) {
  return upstreamOf(id, { pool: "desk", role: "service", slots: 6 });
}

function createStartedRelay(): RelayFixture {
  const relay = new RelayFixture();
  relay.learn([
    createDeskUpstream("d1"),
    createDeskUpstream("d2"),
    upstreamOf("e1"),
  ]);
  return relay;
}

t.test("requests are refused as not ready before a routing is known", (t) => {
  const relay = new RelayFixture();
  const [failure] = only(relay.request(), "send_failure");
  t.match(failure, { error: "not_ready", notRun: true });
  t.ok((failure?.retryAfterMs ?? 0) > 0);
  t.end();
});

t.test("requests without a matching route or key are refused", (t) => {
  const cases = [
    { change: { path: "/other/" }, error: "not_found" },
    { change: { host: "two.example" }, error: "not_found" },
    { change: { key: "key-2" }, error: "unauthenticated" },
    { change: { key: null }, error: "unauthenticated" },
  ];
  for (const { change, error } of cases) {
    const effects = createStartedRelay().request(change);
    t.match(only(effects, "send_failure"), [{ error, notRun: true }]);
    t.equal(only(effects, "send_request").length, 0);
  }
  t.end();
});

t.test("a keyless route accepts requests without a key", (t) => {
  const relay = createStartedRelay();
  const routing = routingOf({
    version: 2,
    routes: [routeOf({ keyless: true })],
  });
  relay.reduce({ kind: "routing_learned", confirmedAt: 0, routing });
  const [sent] = only(relay.request({ key: null }), "send_request");
  t.equal(sent?.workspace, null);
  t.end();
});

t.test("an older routing is ignored", (t) => {
  const relay = createStartedRelay();
  const newer = routingOf({ version: 5, workspaces: [] });
  relay.reduce({ kind: "routing_learned", confirmedAt: 0, routing: newer });
  relay.reduce({
    kind: "routing_learned",
    confirmedAt: 0,
    routing: routingOf(),
  });
  const [failure] = only(relay.request(), "send_failure");
  t.equal(failure?.error, "unauthenticated");
  t.end();
});

t.test("an attempt gets the remaining time of the caller's budget", (t) => {
  const relay = createStartedRelay();
  const effects = relay.request({ budgetMs: 700 });
  const [sent] = only(effects, "send_request");
  t.match(sent, { workspace: "clinic", resumption: null, copyTo: null });
  t.equal(sent?.deadline, relay.now - 1 + 700);
  t.end();
});

t.test("a request refused without a run is sent to another upstream", (t) => {
  const relay = createStartedRelay();
  const [first] = only(relay.request(), "send_request");
  const effects = relay.reduce({
    kind: "attempt_refused",
    attemptId: first?.attemptId ?? "",
    exchangeId: "x1",
    reason: "not_executed",
  });
  const [second] = only(effects, "send_request");
  t.not(second?.target.instance, first?.target.instance);
  t.end();
});

// While the store was down, requests met engines that had ended. Each was refused
// once the small share of retries of one process in a large fleet was used.
t.test("upstreams that are not reached use no share of the retries", (t) => {
  const relay = new RelayFixture({ retryBurst: 0 });
  relay.learn(["d1", "d2", "d3", "d4"].map(createDeskUpstream));
  for (let index = 0; index < 4; index++) {
    const exchangeId = `x${index}`;
    const [sent] = only(relay.request({ exchangeId }), "send_request");
    const effects = relay.reduce({
      kind: "attempt_refused",
      attemptId: sent?.attemptId ?? "",
      exchangeId,
      reason: "unreachable",
      detail: "ECONNREFUSED",
    });
    t.equal(only(effects, "send_failure").length, index < 3 ? 0 : 1);
  }
  t.end();
});

t.test("a request refused by all upstreams fails as not run", (t) => {
  const relay = createStartedRelay();
  let effects = relay.request();
  for (let attempt = 0; attempt < 3; attempt++) {
    const [sent] = only(effects, "send_request");
    if (sent === undefined) {
      break;
    }
    effects = relay.reduce({
      kind: "attempt_refused",
      attemptId: sent.attemptId,
      exchangeId: "x1",
      reason: "not_executed",
    });
  }
  const [failure] = only(effects, "send_failure");
  t.match(failure, { notRun: true });
  t.ok((failure?.retryAfterMs ?? 0) > 0);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("a request that may have run fails with an unknown outcome", (t) => {
  const relay = createStartedRelay();
  const [sent] = only(relay.request(), "send_request");
  const effects = relay.reduce({
    kind: "attempt_failed",
    attemptId: sent?.attemptId ?? "",
    exchangeId: "x1",
    reason: "ECONNRESET",
  });
  t.equal(only(effects, "send_request").length, 0);
  t.match(only(effects, "send_failure"), [
    { error: "upstream_lost", notRun: "unknown", retryAfterMs: null },
  ]);
  t.end();
});

t.test("a repeatable request is repeated up to its route's attempts", (t) => {
  const relay = createStartedRelay();
  const [first] = only(relay.request({ path: "/look/1" }), "send_request");
  const repeated = relay.reduce({
    kind: "attempt_failed",
    attemptId: first?.attemptId ?? "",
    exchangeId: "x1",
    reason: "ECONNRESET",
  });
  const [second] = only(repeated, "send_request");
  t.not(second?.target.instance, first?.target.instance);
  const failed = relay.reduce({
    kind: "attempt_failed",
    attemptId: second?.attemptId ?? "",
    exchangeId: "x1",
    reason: "ECONNRESET",
  });
  t.match(only(failed, "send_failure"), [{ error: "upstream_lost" }]);
  t.end();
});

t.test("answers of a replaced attempt are dropped", (t) => {
  const relay = createStartedRelay();
  const [first] = only(relay.request({ path: "/look/1" }), "send_request");
  const attemptId = first?.attemptId ?? "";
  const event = { attemptId, exchangeId: "x1" } as const;
  relay.reduce({ kind: "attempt_failed", reason: "lost", ...event });
  const answer = { status: 200, headers: [], body: Buffer.from("late") };
  const effects = relay.reduce({ kind: "answer_received", answer, ...event });
  t.strictSame(effects, []);
  t.end();
});

t.test("a caller that disconnects ends the attempt at the upstream", (t) => {
  const relay = createStartedRelay();
  const [sent] = only(relay.request(), "send_request");
  const effects = relay.reduce({
    kind: "caller_disconnected",
    exchangeId: "x1",
  });
  t.match(only(effects, "drop_attempt"), [{ attemptId: sent?.attemptId }]);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("a request fails at the time-out of its route", (t) => {
  const relay = createStartedRelay();
  const effects = relay.request({ budgetMs: null });
  const timers = only(effects, "set_timer").filter(({ timer }) =>
    timer.kind === "request_deadline"
  );
  t.equal(timers[0]?.at, relay.now - 1 + 3_000);
  const timer = { kind: "request_deadline", exchangeId: "x1" } as const;
  const expired = relay.reduce({ kind: "timer_fired", timer }, 3_000);
  t.match(only(expired, "send_failure"), [
    { error: "upstream_timeout", notRun: "unknown" },
  ]);
  t.equal(only(expired, "drop_attempt").length, 1);
  t.end();
});

t.test("an answer is forwarded once, unchanged", (t) => {
  const relay = createStartedRelay();
  const [sent] = only(relay.request(), "send_request");
  const event = {
    kind: "answer_received",
    attemptId: sent?.attemptId ?? "",
    exchangeId: "x1",
    answer: { status: 200, headers: ["a", "b"], body: Buffer.from("c") },
  } as const;
  t.match(only(relay.reduce(event), "send_answer"), [{ answer: event.answer }]);
  t.strictSame(relay.reduce(event), []);
  t.end();
});

t.test("a request that may have run is never refused as not run", (t) => {
  const full = { running: 6, tokens: 0 };
  const cases = [
    // All upstreams are full when the request is to be repeated.
    (relay: RelayFixture) => {
      const pool = relay.state.pools.get("desk");
      for (const engine of ["d1", "d2"]) {
        pool?.dispatcher.peerChanged(engine, [{ engine, ...full }], {
          monotonic: relay.now,
          wall: 0,
        });
      }
    },
    // No upstreams are listed when the request is to be repeated.
    (relay: RelayFixture) => relay.list([]),
    // The pool of its service no longer exists.
    (relay: RelayFixture) => relay.state.pools.delete("desk"),
  ];
  for (const change of cases) {
    const relay = createStartedRelay();
    const [sent] = only(relay.request({ path: "/look/1" }), "send_request");
    change(relay);
    const failed = relay.reduce({
      kind: "attempt_failed",
      attemptId: sent?.attemptId ?? "",
      exchangeId: "x1",
      reason: "ECONNRESET",
    });
    const timer = { kind: "release_backlogs" } as const;
    const later = relay.reduce({ kind: "timer_fired", timer }, 290);
    const failures = only([...failed, ...later], "send_failure");
    t.match(failures, [{ error: "upstream_lost", notRun: "unknown" }]);
    t.equal(failures[0]?.retryAfterMs, null);
  }
  t.end();
});

t.test("the shared blocks of a prompt and an early loss are logged", (t) => {
  const relay = createStartedRelay();
  const effects = relay.generate();
  const decisions = (kind: string, from: readonly RelayEffect[]) =>
    only(from, "log_decision").map(({ decision }) => decision)
      .filter((decision) => decision.kind === kind);
  t.match(decisions("admit", effects), [{ figures: { blocks: "p" } }]);
  const [sent] = only(effects, "send_request");
  const lost = relay.reduce({
    kind: "attempt_failed",
    attemptId: sent?.attemptId ?? "",
    exchangeId: "x1",
    reason: "connection_lost",
  });
  t.match(decisions("drop", lost), [{ figures: { begunMs: -1 } }]);
  t.end();
});

/** Reduces an event of a stream every `periodMs`; returns all effects. */
function trickle(
  relay: RelayFixture,
  attempt: { readonly exchangeId: string; readonly attemptId: string },
  { periodMs, durationMs }: {
    readonly periodMs: number;
    readonly durationMs: number;
  },
): readonly RelayEffect[] {
  const effects: RelayEffect[] = [];
  const head = { status: 200, headers: [] };
  for (let elapsed = periodMs; elapsed <= durationMs; elapsed += periodMs) {
    const events = { bytes: Buffer.from("x"), count: 0, lastEventId: "1" };
    const event = {
      kind: "events_received",
      ...attempt,
      head,
      ...events,
    } as const;
    effects.push(...relay.reduce(event, periodMs));
  }
  return effects;
}

// Others cut slow streams, and let those go on that sent a byte now and then.
t.test("a stream lasts until its deadline, however slow it is, and no longer", (t) => {
  const relay = new RelayFixture();
  relay.learn([upstreamOf("e1")]);
  const effects = relay.generate();
  const [sent] = only(effects, "send_request");
  const [deadline] = only(effects, "set_timer")
    .filter(({ timer }) => timer.kind === "request_deadline");
  const attempt = { exchangeId: "x1", attemptId: sent?.attemptId ?? "" };
  const slow = trickle(relay, attempt, { periodMs: 5_000, durationMs: 35_000 });
  t.equal(only(slow, "send_events").length, 7);
  t.equal(only(slow, "abort_answer").length, 0);
  t.equal(only(slow, "drop_attempt").length, 0);
  const leftMs = (deadline?.at ?? 0) - relay.now;
  t.ok(leftMs > 0 && leftMs < 5_000, "the caller's time");
  const timer = { kind: "request_deadline", exchangeId: "x1" } as const;
  const ended = relay.reduce({ kind: "timer_fired", timer }, leftMs);
  t.equal(only(ended, "abort_answer").length, 1);
  t.equal(only(ended, "drop_attempt").length, 1);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

// Generations were preempted for short urgent ones in small fleets, whose engines
// are fuller than the relays know.
t.test("urgency is stated in large fleets only", (t) => {
  const urgent = routeOf({
    name: "tag",
    prefix: "/tag/",
    streaming: true,
    priority: 0,
    services: [{ service: "models", weight: 1 }],
  });
  const { routes } = routingOf();
  const routing = routingOf({ version: 2, routes: [...routes, urgent] });
  const small = new RelayFixture();
  small.learn([upstreamOf("e1")], routing);
  const [first] = only(small.generate({ path: "/tag/1" }), "send_request");
  t.equal(first?.urgency, null);
  const large = new RelayFixture();
  large.learn([upstreamOf("e1")], routing);
  large.joinLargeFleet();
  const urgencies = ["/tag/1", "/write/1"].map((path, index) => {
    const waiting = large.generate({ path, exchangeId: `x${index}` });
    const [sent] = only(
      [...waiting, ...large.expireReports(waiting)],
      "send_request",
    );
    return sent?.urgency;
  });
  t.strictSame(urgencies, [1, 2]);
  t.end();
});

// Such a request was answered 502 even if it had not run, and its upstream went on.
t.test("a request that holds too much memory is refused if it has not run", (t) => {
  const relay = createStartedRelay();
  relay.request({ exchangeId: "sent" });
  const sent = relay.reduce({ kind: "memory_exceeded", exchangeId: "sent" });
  t.match(only(sent, "send_failure"), [{
    error: "upstream_invalid",
    notRun: "unknown",
  }]);
  t.equal(only(sent, "drop_attempt").length, 1);
  for (let index = 0; index < 100; index++) {
    relay.request({ exchangeId: `x${index}`, requestId: `r${index}` });
  }
  const waiting = [...relay.state.requests.values()]
    .find(({ phase }) => phase === "waiting");
  t.ok(waiting, "one waits for its turn");
  const { exchangeId = "" } = waiting ?? {};
  const refused = relay.reduce({ kind: "memory_exceeded", exchangeId });
  t.match(only(refused, "send_failure"), [{
    exchangeId,
    error: "overloaded",
    notRun: true,
    retryAfterMs: Number,
  }]);
  t.strictSame(
    relay.reduce({ kind: "memory_exceeded", exchangeId }),
    [],
    "an ended request is left alone",
  );
  t.end();
});
