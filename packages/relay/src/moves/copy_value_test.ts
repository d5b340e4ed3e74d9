import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import { copyMemoryLimit } from "./copy_value.ts";
import { LeaveRate } from "./leave_rate.ts";

const long = { remainingMs: 7_500, lostTokens: 3_450, copyTokens: 3_850 };

// Of 32 engines 17 in 100 leave every 3.3 s.
const leavesPerMs = 0.17 / 3_300;

// With copies of all long generations, 84 in 100 tokens of all engines would be
// in use, and new requests would be refused for want of memory.
t.test("copies take memory only as far as they are worth it", (t) => {
  const limit = copyMemoryLimit({ ...long, leavesPerMs });
  t.ok(limit > 0.2 && limit < 0.35, `${limit}`);
  t.equal(copyMemoryLimit({ ...long, leavesPerMs: 0 }), 0, "none leaves");
  t.equal(copyMemoryLimit({ ...long, leavesPerMs: 1, copyTokens: 1 }), 0.5);
  const ending = { ...long, leavesPerMs, remainingMs: 1_000 };
  t.ok(copyMemoryLimit(ending) < limit / 2, "it has nearly ended");
  t.end();
});

t.test("the rate of departures is learned, and forgotten again", (t) => {
  const rate = new LeaveRate();
  rate.observe(32, 0);
  for (let now = 3_300; now <= 99_000; now += 3_300) {
    rate.observe(32, now);
    Array.from({ length: 5 }).forEach(() => rate.recordLeave());
  }
  t.ok(Math.abs(rate.perMs / (5 / 32 / 3_300) - 1) < 0.1, `${rate.perMs}`);
  for (let now = 102_300; now <= 402_300; now += 3_300) {
    rate.observe(32, now);
  }
  t.ok(rate.perMs < 0.05 * leavesPerMs);
  t.end();
});

function report(relay: RelayFixture, used: Readonly<Record<string, number>>) {
  const wall = 1_700_000_000_000 + relay.now;
  const askedAt = { monotonic: relay.now, wall };
  for (const [id, usedTokens] of Object.entries(used)) {
    relay.reportEngine(id, { usedTokens, askedAt });
  }
}

/** Returns where a generation and its copy go, by the tokens in use. */
function placeWith(used: Readonly<Record<string, number>>, leaves = 60) {
  const relay = new RelayFixture();
  relay.learn(Object.keys(used).map((id) => upstreamOf(id)));
  relay.joinLargeFleet();
  const rate = relay.state.pools.get("models")?.leaveRate;
  rate?.observe(32, relay.now);
  relay.wait(20_000);
  rate?.observe(32, relay.now);
  Array.from({ length: leaves }).forEach(() => rate?.recordLeave());
  report(relay, used);
  const asked = relay.generate();
  const effects = [...asked, ...relay.expireReports(asked)];
  const [sent] = only(effects, "send_request");
  return { relay, sent };
}

// In fleets of more than 13 relays no copies were made at all.
t.test("a large fleet makes copies where reports show room", (t) => {
  const { relay, sent } = placeWith({ e1: 0, e22: 500, e333: 20_000 });
  t.equal(sent?.target.id, "e1");
  t.equal(sent?.copyTo, "10.0.0.1:3", "the emptier one of the others");
  const full = placeWith({ e1: 0, e22: 14_000, e333: 20_000 });
  t.equal(full.sent?.copyTo, null, "running generations keep their memory");
  const calm = placeWith({ e1: 0, e22: 500, e333: 20_000 }, 0);
  t.equal(calm.sent?.copyTo, null, "no engine leaves");
  // Its engine ends without a notice.
  const event = { attemptId: sent?.attemptId ?? "", exchangeId: "x1" };
  const head = { status: 200, headers: [] };
  const data = { bytes: Buffer.from("x"), count: 9, lastEventId: "9", head };
  relay.reduce({ kind: "events_received", ...event, ...data });
  relay.wait(5_000);
  report(relay, { e1: 20_000, e333: 500 });
  const reason = "connection_lost";
  const resumed = relay.reduce({ kind: "attempt_failed", ...event, reason });
  t.match(only(resumed, "send_request"), [{
    target: { id: "e22" },
    copyTo: "10.0.0.1:4",
  }], "its resumption has a copy as well");
  t.end();
});

// Waiting for a copy took a second of a notice of one and a half, so that a move
// came too late when the copy was missing.
t.test("a large fleet moves a generation whose copy is incomplete", (t) => {
  for (
    const { ageMs, isComplete } of [
      { ageMs: 1_600, isComplete: false },
      { ageMs: 2_600, isComplete: true },
    ]
  ) {
    const { relay, sent } = placeWith({ e1: 0, e22: 500, e333: 20_000 });
    relay.reduce({
      kind: "events_received",
      attemptId: sent?.attemptId ?? "",
      exchangeId: "x1",
      head: { status: 200, headers: [] },
      bytes: Buffer.from("x"),
      count: 9,
      lastEventId: "9",
    });
    relay.wait(ageMs);
    const vms = ["e1", "e22", "e333"].map((id) =>
      upstreamOf(id, { state: id === "e1" ? "leaving" : "live" })
    );
    const timers = only(relay.list(vms), "set_timer");
    const due = timers.find(({ timer }) => timer.kind === "depart");
    t.equal((due?.at ?? 0) - relay.now, isComplete ? 300 : 0);
    // The engine does not keep the copy.
    const exchangeId = "x1";
    const attemptId = sent?.attemptId ?? "";
    const ids = { attemptId, exchangeId };
    const timer = { kind: "depart", exchangeId } as const;
    relay.reduce({ kind: "timer_fired", timer }, isComplete ? 300 : 0);
    const runs = [
      { requestId: "r1", tokens: 3_036, events: 9 },
      { requestId: "r2", tokens: 3_400, events: 90 },
    ];
    const report = { keptTokens: 0, freeTokens: 0, runs, detail: "" };
    relay.reduce({ kind: "copy_checked", ...ids, report });
    const moved = relay.reduce({ kind: "runs_listed", ...ids, report });
    t.equal(only(moved, "copy_generation").length, 1, "it is moved at once");
  }
  t.end();
});
