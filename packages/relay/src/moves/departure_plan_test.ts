import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { CopyOutcome, RunningGeneration } from "../relay_event.ts";
import { startAttempt } from "../requests/place_request.ts";

const head = { status: 200, headers: [] };
const others: readonly RunningGeneration[] = [
  { requestId: "short-1", tokens: 2_550, events: 1 },
  { requestId: "short-2", tokens: 2_550, events: 0 },
  { requestId: "long-1", tokens: 3_100, events: 30 },
];

/**
 * Lets the engine of a long generation leave, and reports what it runs, in a
 * fleet that is too large for all relays to exchange with each other unless told
 * otherwise.
 */
function reportDeparture(
  {
    leavesMs,
    events = 50,
    runs = others,
    maxTokens = 1_000,
    isLargeFleet = true,
  }: {
    readonly leavesMs?: number;
    readonly events?: number;
    readonly runs?: readonly RunningGeneration[];
    readonly maxTokens?: number;
    readonly isLargeFleet?: boolean;
  },
) {
  const relay = new RelayFixture();
  const leaving = upstreamOf("leaving");
  const targets = [
    upstreamOf("far", { dataCentre: "b" }),
    upstreamOf("nearby-1"),
  ];
  relay.learn([leaving]);
  if (isLargeFleet) {
    relay.joinLargeFleet();
  }
  const exchangeId = "x1";
  const prompt = { model: "m", promptTokens: 3_000, maxTokens };
  const generation = { ...prompt, prefix: ["p"], sharedBlocks: [] };
  const asked = relay.generate({ generation });
  const placed = [...asked, ...relay.expireReports(asked)];
  const [sent] = only(placed, "send_request");
  const attemptId = sent?.attemptId ?? "";
  const stream = { bytes: Buffer.from("x"), lastEventId: `${events}`, head };
  const received = { kind: "events_received", ...stream } as const;
  if (events > 0) {
    relay.reduce({ ...received, attemptId, exchangeId, count: events });
  }
  relay.list([{ ...leaving, state: "leaving" }, ...targets]);
  const timer = { kind: "depart", exchangeId } as const;
  relay.reduce({ kind: "timer_fired", timer });
  const own = { requestId: "r1", tokens: 3_200, events };
  const report = {
    keptTokens: 0,
    freeTokens: 0,
    runs: [own, ...runs],
    detail: "",
    ...(leavesMs === undefined ? {} : { leavesMs }),
  };
  const listed = {
    kind: "runs_listed",
    attemptId,
    exchangeId,
    report,
  } as const;
  const effects = relay.reduce(listed);
  const [turn] = only(effects, "set_timer");
  const [copy] = only(effects, "copy_generation");
  const delayMs = (turn?.at ?? relay.now) - relay.now;
  return { relay, attemptId, effects, copy, delayMs };
}

// In a day with 76 relays, turns after short generations, which had ended by
// then, began when the engine was about to leave.
t.test("short generations take no turns if the schedule is used", (t) => {
  const afterOneMs = 3_100 / 9 + 40;
  const { delayMs } = reportDeparture({ leavesMs: 1_500 });
  t.ok(Math.abs(delayMs - afterOneMs) < 1, "the engine says when it leaves");
  const sparse = reportDeparture({});
  t.ok(Math.abs(sparse.delayMs - afterOneMs) < 1, "it does not");
  t.end();
});

// A full mesh was moved by the schedule, which is for larger fleets, as soon as
// its engines stated when they leave.
t.test("a full mesh keeps the delays by size, whatever engines state", (t) => {
  const isLargeFleet = false;
  const afterThreeMs = 3_100 / 9 + 40 + 2 * (2_550 / 9 + 40);
  for (const change of [{}, { leavesMs: 1_500 }, { leavesMs: 400 }]) {
    const { relay, delayMs } = reportDeparture({ ...change, isLargeFleet });
    t.ok(Math.abs(delayMs - afterThreeMs) < 1, JSON.stringify(change));
    t.equal(relay.state.requests.get("x1")?.departure, null);
  }
  const alone = { isLargeFleet, runs: [] };
  for (
    const change of [{ leavesMs: 2_000, maxTokens: 240 }, { leavesMs: 400 }]
  ) {
    const { copy } = reportDeparture({ ...change, ...alone });
    t.match(copy, { stop: false }, JSON.stringify(change));
  }
  t.end();
});

t.test("the first of the schedule moves to a nearby engine at once", (t) => {
  const { copy } = reportDeparture({ leavesMs: 1_500, runs: [] });
  t.match(copy, { to: "10.0.0.1:8", stop: false });
  t.end();
});

// A second copy would be complete only after the engine has left.
t.test("a generation is stopped at once if little time is left", (t) => {
  const { copy } = reportDeparture({ leavesMs: 400, runs: [] });
  t.match(copy, { stop: true });
  t.end();
});

// Its turn on the link would be lost to another one that ends with the engine.
t.test("a generation whose token limit ends it in time stays", (t) => {
  const { copy, delayMs } = reportDeparture({
    leavesMs: 2_000,
    maxTokens: 240,
    runs: [],
  });
  t.equal(copy, undefined);
  t.equal(delayMs, 1_500, "it is moved after all if it has not ended then");
  t.end();
});

// A limit of 0, or below what the engine has produced, left a negative number of
// events: the generation was never moved, and its engine was asked for reports
// without a pause, by timers in the past.
t.test("a generation that exceeds its token limit is moved", (t) => {
  for (const maxTokens of [0, 120, 200]) {
    const { copy } = reportDeparture({ leavesMs: 1_500, maxTokens, runs: [] });
    t.match(copy, { to: "10.0.0.1:8" }, `limit of ${maxTokens} tokens`);
  }
  for (const leavesMs of [0, 499, 500]) {
    for (const maxTokens of [0, 200, 204, 1_000]) {
      const { relay, effects } = reportDeparture({
        leavesMs,
        maxTokens,
        runs: [],
      });
      const early = only(effects, "set_timer")
        .filter(({ at }) => at <= relay.now);
      t.strictSame(early, [], `${leavesMs} ms, ${maxTokens} tokens`);
    }
  }
  t.end();
});

// What has just begun may end by itself, but must not be forgotten if it does not.
t.test("a new generation is looked at again", (t) => {
  const { copy, delayMs } = reportDeparture({ leavesMs: 2_000, events: 1 });
  t.equal(copy, undefined);
  t.ok(delayMs > 0 && delayMs <= 400);
  t.end();
});

// An operator must see from the metrics why generations were cut.
t.test("the outcomes of moves are counted by reason", (t) => {
  const countsOf = (effects: readonly RelayEffect[]) =>
    only(effects, "count").filter(({ counter }) => counter === "moves")
      .map(({ reason }) => reason);
  for (const isMoving of [true, false]) {
    const runs = isMoving ? [] : others;
    const { relay, attemptId, effects } = reportDeparture({
      leavesMs: 1_500,
      runs,
    });
    t.strictSame(countsOf(effects), isMoving ? ["begun"] : []);
    if (isMoving) {
      const ids = { attemptId, exchangeId: "x1" } as const;
      const outcome = { kind: "busy" } as const;
      relay.reduce({ kind: "generation_copied", ...ids, outcome });
      const timer = { kind: "depart", exchangeId: "x1" } as const;
      const again = relay.reduce({ kind: "timer_fired", timer }, 50);
      t.equal(only(again, "copy_generation").length, 1);
      t.strictSame(countsOf(again), [], "a retry is no other move");
    }
    const kind = "attempt_failed";
    const reason = "connection_lost";
    const lost = { kind, attemptId, exchangeId: "x1", reason } as const;
    const outcome = isMoving ? "lost_copying" : "lost_before_copy";
    t.strictSame(countsOf(relay.reduce(lost)), [outcome]);
  }
  const { relay, attemptId } = reportDeparture({ leavesMs: 400, runs: [] });
  const saved = relay.reduce({
    kind: "generation_copied",
    attemptId,
    exchangeId: "x1",
    outcome: { kind: "copied", handle: "h" },
  });
  t.strictSame(countsOf(saved), ["saved"]);
  t.end();
});

// A request that was waiting for its first event was lost with its engine. It
// may begin anew only if the engine states that nothing was generated.
t.test("a generation that made nothing begins anew if it finds no room", (t) => {
  for (const events of [0, 1, undefined]) {
    const { relay, attemptId, copy } = reportDeparture({
      leavesMs: 400,
      events: 0,
      runs: [],
    });
    t.match(copy, { stop: true });
    const stated = events === undefined ? {} : { events };
    const full = {
      kind: "no_room",
      handle: "h",
      detail: "",
      ...stated,
    } as const;
    const refuse = (outcome: CopyOutcome) =>
      relay.reduce({
        kind: "generation_copied",
        attemptId,
        exchangeId: "x1",
        outcome,
      });
    t.equal(only(refuse(full), "copy_generation").length, 1);
    const effects = refuse(full);
    const [sent] = only(effects, "send_request");
    t.equal(sent?.resumption === null, events === 0, `${events} events`);
    t.equal(sent?.target.id !== "leaving", events === 0);
    const { runs } = relay.state.requests.get("x1") ?? {};
    t.equal(runs, events === 0 ? 1 : 0, "no refusal says that it has not run");
  }
  t.end();
});

// A generation that arrived at an engine after its notice was cut there.
t.test("a generation is moved again if its target leaves meanwhile", (t) => {
  const { relay, attemptId, copy } = reportDeparture({
    leavesMs: 400,
    runs: [],
  });
  const vms = ["leaving", "nearby-1", "far"].map((id) =>
    upstreamOf(id, { state: id === "far" ? "live" : "leaving" })
  );
  relay.list(vms);
  const moved = relay.reduce({
    kind: "generation_copied",
    attemptId,
    exchangeId: "x1",
    outcome: { kind: "copied", handle: "h" },
  });
  t.match(only(moved, "send_request"), [{ target: { address: copy?.to } }]);
  const timer = { kind: "depart", exchangeId: "x1" };
  t.match(only(moved, "set_timer"), [{ timer, at: relay.now }]);
  t.end();
});

// The departure that was due during the wait for a retry stopped a generation
// that ran nowhere. Its engine did not know it, and its caller was cut although
// the memory was kept, or got nothing more until its deadline.
t.test("a resumption that waits for a retry takes part in no departure", (t) => {
  const { relay, attemptId } = reportDeparture({ leavesMs: 400, runs: [] });
  const exchangeId = "x1";
  const outcome = { kind: "no_room", handle: "h", detail: "", events: 50 };
  const refuse = () =>
    relay.reduce({
      kind: "generation_copied",
      attemptId,
      exchangeId,
      outcome: outcome as CopyOutcome,
    }, 300);
  refuse();
  const [resumed] = only(refuse(), "send_request");
  t.match(resumed, { target: { id: "leaving" }, resumption: { handle: "h" } });
  const refused = relay.reduce({
    kind: "attempt_refused",
    attemptId: resumed?.attemptId ?? "",
    exchangeId,
    reason: "not_executed",
  }, 5);
  const retry = { kind: "retry_resumption", exchangeId } as const;
  t.match(only(refused, "set_timer"), [{ timer: retry }]);
  const depart = { kind: "depart", exchangeId } as const;
  const fire = (timer: typeof retry | typeof depart, afterMs: number) =>
    relay.reduce({ kind: "timer_fired", timer }, afterMs);
  t.strictSame(fire(depart, 45), []);
  const retried = fire(retry, 55);
  const [sent] = only(retried, "send_request");
  t.match(sent, { target: { id: "leaving" }, resumption: { handle: "h" } });
  t.match(only(retried, "set_timer"), [{ timer: depart, at: relay.now + 50 }]);
  t.strictSame(fire(retry, 1), [], "it is started once");
  t.equal(only(fire(depart, 49), "copy_generation").length, 1);
  t.end();
});

// The move of the former attempt hid the loss of the next one's connection.
t.test("a new attempt has no move of a former one", (t) => {
  const { relay, attemptId } = reportDeparture({ leavesMs: 400, runs: [] });
  const { state, now } = relay;
  const request = state.requests.get("x1");
  const pool = state.pools.get("models");
  if (request === undefined || pool === undefined) {
    throw new Error("The generation is not known");
  }
  const to = request.move?.to ?? "";
  const ended = t.capture(pool.dispatcher, "ended", pool.dispatcher.ended);
  const { upstream, resumption } = request;
  const at = { monotonic: now, wall: now };
  startAttempt(state, request, { upstream, resumption, at });
  t.not(to, "");
  t.equal(request.move, null);
  t.match(ended(), [{ args: [`move/${attemptId}`, "cancelled"] }]);
  t.end();
});
