import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";

const engineCount = 6;

function createRelay(): RelayFixture {
  const relay = new RelayFixture();
  relay.learn(
    Array.from({ length: engineCount }, (_, index) => upstreamOf(`e${index}`)),
  );
  relay.joinLargeFleet();
  return relay;
}

/** Returns the request for reports among the effects. */
function askOf(effects: readonly RelayEffect[]) {
  const [ask] = only(effects, "report_engines");
  if (ask === undefined) {
    throw new TypeError("No engine was asked for a report");
  }
  return { ...ask, ids: ask.engines.map(({ id }) => id) };
}

/** Lets all asked engines report; the first one is the fullest. */
function answerAll(
  relay: RelayFixture,
  { ids, askedAt }: ReturnType<typeof askOf>,
): readonly RelayEffect[] {
  return ids.flatMap((id, index) =>
    relay.reportEngine(id, { askedAt, usedTokens: 20_000 - index * 4_000 })
  );
}

// A relay of a large fleet took every engine for empty, as it knows the work of
// few peers, and sent generations to full engines.
t.test("a generation waits for reports and goes to the emptiest engine", (t) => {
  const relay = createRelay();
  const received = relay.generate();
  t.strictSame(only(received, "send_request"), []);
  const ask = askOf(received);
  t.ok(ask.ids.length >= 2 && ask.ids.length <= 3, `${ask.ids.length} asked`);
  const effects = answerAll(relay, ask);
  t.match(only(effects, "send_request"), [{ target: { id: ask.ids.at(-1) } }]);
  t.equal(relay.state.pendingPlacements.size, 0);
  const [choice] = only(effects, "log_decision")
    .filter(({ decision }) => decision.kind === "choose");
  t.match(choice?.decision.figures, { candidates: ask.ids.length });
  t.end();
});

t.test("requests together share a report, and a fresh one is used", (t) => {
  const relay = new RelayFixture();
  relay.learn([upstreamOf("e0"), upstreamOf("e1")]);
  relay.joinLargeFleet();
  const ask = askOf(relay.generate());
  const second = relay.generate({ exchangeId: "x2" });
  t.strictSame(only(second, "report_engines"), []);
  const placed = answerAll(relay, ask);
  t.equal(only(placed, "send_request").length, 2);
  const third = relay.generate({ exchangeId: "x3" });
  t.strictSame(only(third, "report_engines"), []);
  t.equal(only(third, "send_request").length, 1);
  relay.wait(400);
  t.equal(askOf(relay.generate({ exchangeId: "x4" })).ids.length, 2);
  t.end();
});

// A connection or an engine that has stopped responding must not hold requests.
t.test("silent engines are waited for a few tens of ms, and not again", (t) => {
  const relay = createRelay();
  const received = relay.generate();
  const ask = askOf(received);
  const [silent = "", ...others] = ask.ids;
  for (const id of others) {
    const report = { askedAt: ask.askedAt, usedTokens: 10_000 };
    t.strictSame(only(relay.reportEngine(id, report), "send_request"), []);
  }
  const before = relay.now;
  const [sent] = only(relay.expireReports(received), "send_request");
  t.ok(relay.now - before <= 40);
  t.ok(others.includes(sent?.target.id ?? ""), "a silent one is not preferred");
  t.equal(
    relay.state.engineReports.awaitedUntil(silent, ask.askedAt) > 0,
    true,
  );
  const late = relay.reportEngine(silent, {
    askedAt: ask.askedAt,
    usedTokens: 1,
  });
  t.match(only(late, "count"), [{ counter: "reports", reason: "late" }]);
  t.equal(only(late, "send_request").length, 0);
  t.end();
});

t.test("an engine that reports nothing does not delay the choice", (t) => {
  const relay = createRelay();
  const { ids, askedAt } = askOf(relay.generate());
  const failed = { keptTokens: null, freeTokens: 0, runs: [], detail: "404" };
  const effects = ids.flatMap((upstream) =>
    relay.reduce({
      kind: "engine_reported",
      upstream,
      askedAt,
      report: failed,
    })
  );
  t.equal(only(effects, "send_request").length, 1);
  t.end();
});

t.test("a caller that leaves while reports are awaited gets no attempt", (t) => {
  const relay = createRelay();
  const received = relay.generate();
  relay.reduce({ kind: "caller_disconnected", exchangeId: "x1" });
  const effects = [
    ...answerAll(relay, askOf(received)),
    ...relay.expireReports(received),
  ];
  t.strictSame(only(effects, "send_request"), []);
  t.equal(relay.state.pendingPlacements.size, 0);
  t.end();
});

t.test("a deadline or a planned stop while reports are awaited", (t) => {
  const expired = createRelay();
  expired.generate({ budgetMs: 20 });
  const timer = { kind: "request_deadline", exchangeId: "x1" } as const;
  t.match(
    only(expired.reduce({ kind: "timer_fired", timer }, 20), "send_failure"),
    [{ notRun: true }],
  );
  const stopping = createRelay();
  stopping.reduce({ kind: "stop_requested" });
  stopping.generate({ budgetMs: 3_000 });
  const stop = { kind: "timer_fired", timer: { kind: "check_stop" } } as const;
  const effects = stopping.reduce(stop, 7_850);
  t.match(only(effects, "send_failure"), [{ error: "draining", notRun: true }]);
  t.equal(stopping.state.pendingPlacements.size, 0);
  t.end();
});

t.test("engines that close while they are asked get nothing", (t) => {
  const relay = createRelay();
  const received = relay.generate();
  const ask = askOf(received);
  const open = Array.from({ length: engineCount }, (_, index) => `e${index}`)
    .filter((id) => !ask.ids.includes(id));
  relay.list(open.map((id) => upstreamOf(id)));
  const effects = [
    ...answerAll(relay, ask),
    ...relay.expireReports(received),
  ];
  const [sent] = only(effects, "send_request");
  t.ok(open.includes(sent?.target.id ?? ""));
  t.equal(relay.state.engineReports.count, 0, "their reports are discarded");
  t.end();
});

t.test("an engine whose report says that it leaves gets nothing", (t) => {
  const relay = createRelay();
  const { ids, askedAt } = askOf(relay.generate());
  const effects = ids.flatMap((id, index) =>
    relay.reportEngine(id, {
      askedAt,
      usedTokens: 20_000 - index * 4_000,
      isLeaving: index === ids.length - 1,
    })
  );
  t.match(only(effects, "send_request"), [{ target: { id: ids.at(-2) } }]);
  t.end();
});

// Two engines may be full while others have room; a queued request that asked no
// further ones would be refused in the end.
t.test("a queued request asks other engines at a bounded rate", (t) => {
  const relay = createRelay();
  /** Reports all asked engines as full. */
  const fill = (effects: readonly RelayEffect[]) =>
    only(effects, "report_engines").flatMap(({ engines, askedAt }) =>
      engines.flatMap(({ id }) =>
        relay.reportEngine(id, { askedAt, usedTokens: 29_900, running: 8 })
      )
    );
  const release = () =>
    relay.reduce({
      kind: "timer_fired",
      timer: { kind: "release_backlogs" },
    }, 25);
  const queued = fill(relay.generate());
  t.equal(relay.state.pools.get("models")?.dispatcher.waiting, 1);
  let asks = only(queued, "report_engines").length;
  fill(queued);
  let next: readonly RelayEffect[] = [];
  for (let elapsedMs = 0; elapsedMs < 800; elapsedMs += 25) {
    next = release();
    asks += only(next, "report_engines").length;
    t.strictSame(only(fill(next), "send_request"), []);
  }
  t.ok(asks >= 3 && asks <= 9, `${asks} requests for reports`);
  for (let round = 0; round < 20; round++) {
    next = release();
    if (only(next, "report_engines").length > 0) {
      break;
    }
  }
  const { ids, askedAt } = askOf(next);
  const free = relay.reportEngine(ids[0] ?? "", { askedAt, usedTokens: 3_000 });
  t.match(only(free, "send_request"), [{ target: { id: ids[0] } }]);
  t.end();
});

// Regular reports would close the circuit of an engine that refuses.
t.test("reports do not count as successful generations", (t) => {
  const relay = createRelay();
  const pool = relay.state.pools.get("models");
  const demand = {
    requestId: "r",
    workspace: "",
    workClass: "write",
    model: "m",
    promptTokens: 10,
    maxTokens: 100,
    prefix: [],
    targets: {
      firstTokenMs: 1_800,
      betweenTokensMs: 180,
      stallMs: 180,
      preemptionsPerThousand: 50,
      completionMs: 39_000,
      percent: 95,
    },
    arrivedAt: relay.now,
  };
  const at = { monotonic: relay.now, wall: 1_700_000_000_000 + relay.now };
  const load = {
    running: 0,
    waiting: 0,
    memoryTokens: 30_000,
    usedTokens: 0,
    heldTokens: 0,
  };
  for (let index = 0; index < 3; index++) {
    const generationId = `g${index}`;
    pool?.dispatcher.sent({ generationId, engine: "e0", demand }, at);
    pool?.dispatcher.ended(generationId, "refused", at);
    pool?.reporting?.engineReported("e0", load, { measuredAt: index, at });
  }
  const placement = pool?.reporting?.placeAmong(demand, ["e0"], at);
  t.not(placement?.kind, "dispatch");
  t.end();
});

t.test("nothing is asked in a fleet that exchanges with all", (t) => {
  const relay = new RelayFixture();
  relay.learn([upstreamOf("e0"), upstreamOf("e1"), upstreamOf("e2")]);
  const effects = relay.generate();
  t.strictSame(only(effects, "report_engines"), []);
  t.equal(only(effects, "send_request").length, 1);
  t.end();
});
