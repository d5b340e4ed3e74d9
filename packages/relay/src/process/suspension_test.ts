import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";

const d1 = upstreamOf("d1", { pool: "desk", role: "service", slots: 6 });
const suspendedMs = 5_000;
const added = { path: "/new/1", exchangeId: "x2" };

/** Returns a relay that was suspended after it had read the store. */
function createSuspendedRelay(): RelayFixture {
  const relay = new RelayFixture();
  relay.learn([d1]);
  relay.suspend(suspendedMs);
  return relay;
}

// The monotonic clock does not count a suspension, so old knowledge looked new.
t.test("a suspended process takes what it knew for old", (t) => {
  const relay = createSuspendedRelay();
  const received = relay.request(added);
  t.strictSame(only(received, "send_failure"), []);
  const { fleet } = relay.state;
  t.ok(relay.now - fleet.configurationConfirmedAt >= suspendedMs);
  t.ok(relay.now - fleet.upstreams.askedAt >= suspendedMs);
  t.end();
});

t.test("what was asked before a suspension is as old when it is answered", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1]);
  const confirmedAt = relay.now;
  relay.suspend(suspendedMs);
  relay.request(added);
  const kind = "routing_unchanged";
  const old = relay.reduce({ kind, confirmedAt });
  t.strictSame(only(old, "send_failure"), []);
  const later = relay.reduce({ kind, confirmedAt: relay.now });
  t.match(only(later, "send_failure"), [{ error: "not_found" }]);
  t.end();
});

t.test("peers are told of the age with the time of a suspension", (t) => {
  const relay = createSuspendedRelay();
  const received = relay.receiveExchange({});
  const [answer] = only(received, "answer_exchange");
  t.ok(Number(answer?.message.configurationAgeMs) >= suspendedMs);
  t.end();
});

t.test("a time of day that is set back changes no age", (t) => {
  const relay = new RelayFixture();
  relay.learn([d1]);
  relay.suspend(-suspendedMs);
  t.match(only(relay.request(added), "send_failure"), [{ error: "not_found" }]);
  t.end();
});
