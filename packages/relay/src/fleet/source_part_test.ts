import { markRetentionMs } from "@lavenderferry/fleet";
import { toStoreVersion } from "@lavenderferry/platform";
import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";

const d1 = upstreamOf("d1", { pool: "desk", role: "service", slots: 6 });
const d2 = upstreamOf("d22", { pool: "desk", role: "service", slots: 6 });

function collectTargets(relay: RelayFixture): ReadonlySet<string> {
  const found = new Set<string>();
  for (let index = 0; index < 20; index++) {
    const exchangeId = `x${index}`;
    const [sent] = only(relay.request({ exchangeId }), "send_request");
    found.add(sent?.target.instance ?? "");
    relay.reduce({ kind: "caller_disconnected", exchangeId });
  }
  return found;
}

t.test("a leaving upstream gets no new requests", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1, d2]);
  t.equal(collectTargets(relay).size, 2);
  const vms = [d1, { ...d2, state: "leaving" as const }];
  relay.list(vms);
  t.strictSame([...collectTargets(relay)], ["instance-d1"]);
  // A stale read that still lists it as live does not add it again.
  relay.list([d1, d2]);
  t.strictSame([...collectTargets(relay)], ["instance-d1"]);
  t.end();
});

t.test("an unlisted upstream gets no requests until listed again", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1, d2]);
  relay.list([d1]);
  t.strictSame([...collectTargets(relay)], ["instance-d1"]);
  t.ok(
    relay.state.fleet.marks.get("d22") !== undefined,
    "it is marked for peers",
  );
  relay.list([d1, d2]);
  t.equal(collectTargets(relay).size, 2, "it gets requests again");
  t.end();
});

t.test("a short outage of the store retains no missing upstream", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1, d2]);
  const error = "store_unavailable";
  relay.reduce({ kind: "upstreams_failed", error, detail: "down" });
  relay.list([d1], { afterMs: 300 });
  t.strictSame([...collectTargets(relay)], ["instance-d1"]);
  t.end();
});

t.test("upstreams missing after an outage are retained for 2.5 s", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1, d2]);
  const error = "store_unavailable";
  const lost = relay.reduce({
    kind: "upstreams_failed",
    error,
    detail: "down",
  });
  t.match(only(lost, "log_decision"), [{ decision: { reason: "lost" } }]);
  const repeated = relay.reduce({
    kind: "upstreams_failed",
    error,
    detail: "down",
  }, 4_000);
  t.strictSame(only(repeated, "log_decision"), []);
  const vms = [d1];
  const regained = relay.list(vms, { afterMs: 400 });
  t.match(only(regained, "log_decision"), [
    { decision: { reason: "regained", figures: { outageMs: 4_400 } } },
  ]);
  t.equal(collectTargets(relay).size, 2);
  const timer = { kind: "confirm_removals" } as const;
  relay.reduce({ kind: "timer_fired", timer }, 2_600);
  t.strictSame([...collectTargets(relay)], ["instance-d1"]);
  t.end();
});

t.test("a peer's mark drains a retained upstream at once", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1, d2]);
  const error = "store_unavailable";
  relay.reduce({ kind: "upstreams_failed", error, detail: "down" });
  relay.list([d1], { afterMs: 4_000 });
  const wall = 1_700_000_000_000 + relay.now;
  relay.receiveExchange({
    marks: [{
      upstream: "d22",
      reason: "gone",
      at: wall,
      version: 2,
      datedVersion: 2,
    }],
  });
  t.strictSame([...collectTargets(relay)], ["instance-d1"]);
  t.end();
});

t.test("reading the list again does not reset failure counts", (t) => {
  const relay = new RelayFixture();
  const engine = upstreamOf("e1");
  relay.learn([engine]);
  for (let index = 0; index < 3; index++) {
    const exchangeId = `f${index}`;
    const [sent] = only(relay.generate({ exchangeId }), "send_request");
    const attemptId = sent?.attemptId ?? "";
    const reason = "ECONNRESET";
    relay.reduce({ kind: "attempt_failed", attemptId, exchangeId, reason });
    relay.list([engine]);
  }
  t.strictSame(only(relay.generate(), "send_request"), []);
  t.end();
});

t.test("an engine's memory size is known after it registers again", (t) => {
  const relay = new RelayFixture();
  const engine = upstreamOf("e1");
  relay.learn([engine]);
  const generation = {
    model: "m",
    promptTokens: 31_000,
    maxTokens: 10,
    prefix: [],
    sharedBlocks: [],
  };
  for (let index = 0; index < 2; index++) {
    const [failure] = only(relay.generate({ generation }), "send_failure");
    t.equal(failure?.error, "prompt_too_long");
    relay.list([]);
    relay.list([engine]);
  }
  t.end();
});

t.test("a row that becomes unreadable is logged once", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1]);
  const read = (unreadable: readonly string[]) =>
    only(
      relay.list([d1], { unreadable }),
      "log_decision",
    ).map(({ decision }) => `${decision.subject} ${decision.reason}`);
  t.strictSame(read(["servers/x"]), ["servers/x unreadable"]);
  t.strictSame(read(["servers/x"]), []);
  t.strictSame(read(["servers/x", "servers/y"]), ["servers/y unreadable"]);
  t.strictSame(read([]), []);
  t.strictSame(read(["servers/x"]), ["servers/x unreadable"]);
  t.end();
});

t.test("an unreadable routing is logged and the current one stays", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1]);
  const kind = "routing_unreadable";
  const effects = relay.reduce({ kind, confirmedAt: 0, version: 77 });
  t.match(only(effects, "log_decision"), [
    { decision: { reason: "unreadable", figures: { version: 77 } } },
  ]);
  t.match(only(effects, "set_timer"), [{ timer: { kind: "follow_routing" } }]);
  t.equal(only(relay.request(), "send_request").length, 1);
  t.end();
});

t.test("a failed operation is logged with its reason and retried", (t) => {
  const relay = new RelayFixture();
  const failure = { error: "store_unavailable", detail: "no answer" } as const;
  const kinds = ["routing_failed", "members_failed", "member_failed"] as const;
  for (const kind of kinds) {
    const effects = relay.reduce({ kind, ...failure });
    const figures = { detail: "no answer" };
    t.match(only(effects, "log_decision"), [
      { decision: { reason: "store_unavailable", figures } },
    ]);
    t.equal(only(effects, "set_timer").length, 1);
  }
  t.end();
});

t.test("a read that was not answered is sent again at once, a refused one later", (t) => {
  const failure = { error: "store_unavailable", detail: "" } as const;
  for (const source of ["routing", "upstreams"] as const) {
    const relay = new RelayFixture();
    relay.learn([d1]);
    const fail = (isUnanswered: boolean) =>
      relay.reduce({ kind: `${source}_failed`, ...failure, isUnanswered });
    const kind = `follow_${source}` as const;
    const isRead = (effects: readonly RelayEffect[]) =>
      effects.some((effect) => effect.kind === kind);
    const [read] = only(fail(true), kind);
    t.equal(read?.heldUntil, relay.now, "the store answers at once");
    t.notOk(isRead(fail(true)), "the store is silent, not the connection");
    relay.learn([d1]);
    t.notOk(isRead(fail(false)), "the store has answered");
  }
  t.end();
});

for (const absence of ["read from the list", "announced by a peer"]) {
  const title = `an upstream that leaves is closed after an absence ${absence}`;
  t.test(title, (t) => {
    const relay = new RelayFixture();
    relay.learn([d1, d2]);
    if (absence === "read from the list") {
      relay.list([d1]);
    } else {
      const at = 1_700_000_000_000 + relay.now;
      const mark = { upstream: "d22", reason: "gone", at, version: 2 };
      relay.receiveExchange({ marks: [{ ...mark, datedVersion: 2 }] });
    }
    relay.list([d1, d2], { afterMs: 4_000, version: 3 });
    t.equal(collectTargets(relay).size, 2);
    relay.list([d1, { ...d2, state: "leaving" }], { afterMs: 10_000 });
    t.strictSame([...collectTargets(relay)], ["instance-d1"]);
    t.end();
  });
}

// The copy lists it as it was before.
t.test("an upstream that has long been leaving stays closed when the store is restored", (t) => {
  const relay = new RelayFixture();
  const listed = { ...d2, version: toStoreVersion(1, 4) };
  const leaving = {
    ...d2,
    state: "leaving" as const,
    version: toStoreVersion(1, 6),
  };
  relay.learn([d1, listed], undefined, { version: toStoreVersion(1, 5) });
  relay.list([d1, leaving], { version: toStoreVersion(1, 6) });
  const afterMs = markRetentionMs;
  relay.list([d1, leaving], { afterMs, version: toStoreVersion(1, 7) });
  const copied = { ...d2, version: toStoreVersion(2, 4) };
  relay.list([d1, copied], { version: toStoreVersion(2, 5) });
  t.strictSame([...collectTargets(relay)], ["instance-d1"]);
  const written = { ...d2, version: toStoreVersion(2, 6) };
  relay.list([d1, written], { version: toStoreVersion(2, 6) });
  t.equal(collectTargets(relay).size, 2, "its row was written again");
  t.end();
});

t.test("a process writes its own rows again when the store is restored", (t) => {
  const relay = new RelayFixture();
  const reached = relay.reduce({ kind: "store_era_learned", era: 0 });
  t.strictSame(only(reached, "state_member"), [], "nothing was lost yet");
  const restored = relay.reduce({ kind: "store_era_learned", era: 1 });
  t.match(only(restored, "state_member"), [{ leaving: false }]);
  t.equal(only(restored, "read_suspects").length, 1);
  t.match(only(restored, "log_decision"), [
    { decision: { subject: "store", reason: "restored", figures: { era: 1 } } },
  ]);
  relay.reduce({ kind: "stop_requested" });
  const again = relay.reduce({ kind: "store_era_learned", era: 2 });
  t.match(only(again, "state_member"), [{ leaving: true }]);
  t.end();
});

t.test("quarantines are written again when the store is restored", (t) => {
  const relay = new RelayFixture();
  relay.reduce({ kind: "store_era_learned", era: 0 });
  const changedAt = 1_700_000_000_000 + relay.now;
  const ends = ["e1/1", "e2/2", "e3/3"];
  const records = [{ block: "bad", clearances: 0, ends, changedAt }];
  relay.reduce({ kind: "suspects_learned", records });
  const restored = relay.reduce({ kind: "store_era_learned", era: 1 });
  t.match(only(restored, "state_suspects"), [{ records: [{ block: "bad" }] }]);
  t.end();
});
