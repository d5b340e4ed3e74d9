import t from "tap";
import type { MemberState } from "@lavenderferry/fleet";
import { RelayFixture, routingOf } from "../fixtures/relay_fixture.ts";
import { repeatsOf } from "../state.ts";

function hear(relay: RelayFixture, count: number, state: MemberState): void {
  const members = Array.from({ length: count }, (_each, index) => ({
    id: `front-${index + 2}`,
    epoch: "e",
    sequence: state === "live" ? 1 : 2,
    state,
    role: "entry",
    dataCentre: "a",
    region: "north",
    address: `10.0.0.${index + 2}:1`,
    peers: `10.0.0.${index + 2}:2`,
  }));
  relay.hear({ members });
}

/** Repeats that a process sends one after the other. */
function spend(relay: RelayFixture): number {
  const repeats = relay.state.pools.get("desk")?.repeats;
  let count = 0;
  while (repeats?.spend() === true) {
    count += 1;
  }
  return count;
}

t.test("the fleet's repeats are divided by its members", (t) => {
  const relay = new RelayFixture({ repeats: 54 });
  relay.learn([], routingOf());
  t.equal(repeatsOf(relay.state), 27);
  hear(relay, 6, "live");
  t.equal(repeatsOf(relay.state), 3);
  t.equal(spend(relay), 3);
  hear(relay, 6, "gone");
  t.equal(repeatsOf(relay.state), 27);
  t.end();
});

t.test("a large fleet leaves each process one repeat", (t) => {
  const relay = new RelayFixture({ repeats: 54 });
  relay.learn([], routingOf());
  hear(relay, 300, "live");
  t.equal(spend(relay), 1);
  t.end();
});
