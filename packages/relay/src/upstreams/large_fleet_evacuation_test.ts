import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";

const exchangeId = "x1";
const engines = [
  upstreamOf("e1", { dataCentre: "a", address: "10.0.0.1:1" }),
  upstreamOf("e2", { dataCentre: "a", address: "10.0.0.1:2" }),
  upstreamOf("e3", { dataCentre: "b", address: "10.0.0.2:3" }),
];

let version = 1;

function order(relay: RelayFixture, dataCentres: readonly string[]) {
  version += 1;
  return relay.reduce({
    kind: "routing_unchanged",
    confirmedAt: relay.now,
    evacuations: { version, dataCentres },
  });
}

/** Starts a relay of a fleet in which loads are known by reports only. */
function startRelay(listed = engines): RelayFixture {
  const relay = new RelayFixture({ evacuationBoundMs: 5_000 });
  order(relay, []);
  relay.learn(listed);
  relay.joinLargeFleet();
  return relay;
}

/** Starts a generation at `e1` and forwards its first events. */
function startAtE1(relay: RelayFixture): string {
  relay.list(engines.slice(0, 1));
  const asked = relay.generate({ exchangeId });
  const placed = [...asked, ...relay.expireReports(asked)];
  const [sent] = only(placed, "send_request");
  t.equal(sent?.target.id, "e1");
  const attemptId = sent?.attemptId ?? "";
  const head = { status: 200, headers: [] };
  const stream = { bytes: Buffer.from("x"), lastEventId: "50", head };
  const received = { kind: "events_received", ...stream } as const;
  relay.reduce({ ...received, attemptId, exchangeId, count: 50 });
  relay.list(engines);
  return attemptId;
}

const movesIn = (effects: readonly RelayEffect[]) =>
  only(effects, "count").filter(({ counter }) => counter === "moves")
    .map(({ reason }) => reason);

// A request that waited for reports would be placed among the engines asked for
// them, although they were evacuated in the meantime.
t.test("a request that waits for reports is placed outside the evacuation", (t) => {
  const relay = startRelay();
  const asked = relay.generate({ exchangeId });
  t.strictSame(only(asked, "send_request"), []);
  const ordered = order(relay, ["a"]);
  const placed = [...ordered, ...relay.expireReports(asked)];
  t.match(only(placed, "send_request"), [{ target: { id: "e3" } }]);
  t.end();
});

// The targets of a schedule were chosen before the order to evacuate them.
t.test("a scheduled move goes to no evacuated target", (t) => {
  const relay = startRelay();
  const attemptId = startAtE1(relay);
  const [e1 = upstreamOf("e1"), ...others] = engines;
  relay.list([{ ...e1, state: "leaving" }, ...others]);
  const timer = { kind: "depart", exchangeId } as const;
  relay.reduce({ kind: "timer_fired", timer });
  const runs = [
    { requestId: "long-1", tokens: 3_100, events: 30 },
    { requestId: "r1", tokens: 3_200, events: 50 },
  ];
  const detail = "";
  const report = {
    keptTokens: 0,
    freeTokens: 0,
    runs,
    detail,
    leavesMs: 1_500,
  };
  const listed = {
    kind: "runs_listed",
    attemptId,
    exchangeId,
    report,
  } as const;
  t.strictSame(only(relay.reduce(listed), "copy_generation"), []);
  const { departure } = relay.state.requests.get(exchangeId) ?? {};
  t.equal(departure?.targets[0], "e2", "its turn is later");
  order(relay, ["a"]);
  const due = relay.reduce({ kind: "timer_fired", timer }, 400);
  const asked = only(due, "list_runs").length > 0 ? relay.reduce(listed) : [];
  const copies = only([...due, ...asked], "copy_generation");
  t.match(copies, [{ to: "10.0.0.2:3" }]);
  t.end();
});

// Generations that finished at evacuated engines, or failed there, were counted
// as ended or lost after a notice, which hid how many notices cost.
t.test("what ends at an evacuated engine counts as no move", (t) => {
  for (const isLost of [true, false]) {
    const relay = startRelay();
    const attempt = { attemptId: startAtE1(relay), exchangeId };
    order(relay, ["a"]);
    const reason = "connection_lost";
    const effects = isLost
      ? relay.reduce({ kind: "attempt_failed", ...attempt, reason })
      : relay.reduce({
        kind: "stream_ended",
        ...attempt,
        head: { status: 200, headers: [] },
        framed: true,
      });
    t.strictSame(movesIn(effects), []);
  }
  t.end();
});
