import t from "tap";
import {
  only,
  RelayFixture,
  routeOf,
  routingOf,
  upstreamOf,
} from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";

const d1 = upstreamOf("d1", { pool: "desk", role: "service", slots: 6 });

/** Milliseconds after which the routing is older than the bound. */
const oldMs = 2_100;

const added = { exchangeId: "x2", requestId: "r2", path: "/new/1" };
const unknownKey = { exchangeId: "x3", requestId: "r3", key: "key-9" };

const newRouting = routingOf({
  version: 2,
  routes: [routeOf(), routeOf({ name: "new", prefix: "/new/" })],
  workspaces: [{ name: "clinic", keys: ["key-1", "key-9"] }],
});

/** Returns a relay that waits to read its routing, which is too old. */
function createOldRelay(): RelayFixture {
  const relay = new RelayFixture();
  relay.learn([d1]);
  relay.wait(oldMs);
  return relay;
}

function errorsOf(effects: readonly RelayEffect[]): readonly string[] {
  return only(effects, "send_failure").map(({ error }) => error);
}

t.test("an old routing is read before it refuses a route or a key", (t) => {
  for (const request of [added, unknownKey]) {
    const relay = createOldRelay();
    const received = relay.request(request);
    t.strictSame(errorsOf(received), []);
    t.equal(only(received, "follow_routing").length, 1);
    const again = relay.request({ ...request, exchangeId: "x4" });
    t.strictSame(only(again, "follow_routing"), [], "one read serves all");
    const learned = relay.reduce({
      kind: "routing_learned",
      routing: newRouting,
      confirmedAt: relay.now,
    });
    t.equal(only(learned, "send_request").length, 2);
  }
  t.end();
});

t.test("a route and a key that are still unknown are refused by the read", (t) => {
  const relay = createOldRelay();
  relay.request(added);
  relay.request(unknownKey);
  const confirmedAt = relay.now;
  const read = relay.reduce({ kind: "routing_unchanged", confirmedAt });
  t.strictSame(errorsOf(read), ["not_found", "unauthenticated"]);
  t.end();
});

t.test("a routing that can not be confirmed refuses for the time being", (t) => {
  const error = "store_unavailable";
  const failure = { kind: "routing_failed", error, detail: "" } as const;
  const timer = { kind: "refuse_unconfirmed", exchangeId: "x2" } as const;
  for (const event of [failure, { kind: "timer_fired", timer } as const]) {
    const relay = createOldRelay();
    relay.request(added);
    const refused = relay.reduce(event, 500);
    t.match(only(refused, "send_failure"), [
      { error: "not_ready", notRun: true, retryAfterMs: Number },
    ]);
    t.match(
      only(refused, "log_decision").filter(({ decision }) =>
        decision.kind === "refuse"
      ),
      [{
        decision: { reason: "routing_unconfirmed", figures: { version: 1 } },
      }],
    );
    const confirmedAt = relay.now;
    const later = relay.reduce({ kind: "routing_unchanged", confirmedAt });
    t.strictSame(errorsOf(later), [], "it is answered once");
  }
  t.end();
});

t.test("a known route with a known key does not wait for an old routing", (t) => {
  const relay = createOldRelay();
  const received = relay.request();
  t.equal(only(received, "send_request").length, 1);
  t.strictSame(only(received, "follow_routing"), []);
  t.end();
});

t.test("a caller that leaves waits for no routing", (t) => {
  const relay = createOldRelay();
  relay.request(added);
  relay.reduce({ kind: "caller_disconnected", exchangeId: "x2" });
  const confirmedAt = relay.now;
  const read = relay.reduce({ kind: "routing_unchanged", confirmedAt });
  t.strictSame(errorsOf(read), []);
  t.end();
});

t.test("a routing that becomes too old and is confirmed again is logged", (t) => {
  const relay = createOldRelay();
  const tick = { kind: "timer_fired", timer: { kind: "exchange" } } as const;
  const reasons = () =>
    only(relay.reduce(tick), "log_decision").map(({ decision }) => decision)
      .filter(({ subject }) => subject === "routing")
      .map(({ reason }) => reason);
  t.strictSame(reasons(), ["unconfirmed"]);
  t.strictSame(reasons(), []);
  relay.reduce({ kind: "routing_unchanged", confirmedAt: relay.now });
  t.strictSame(reasons(), ["confirmed"]);
  t.end();
});
