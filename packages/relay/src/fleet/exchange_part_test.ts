import t from "tap";
import type { MemberState } from "@lavenderferry/fleet";
import { only, RelayFixture, routingOf } from "../fixtures/relay_fixture.ts";
import { computeRetryBurst } from "../state.ts";

function receiveMembers(
  relay: RelayFixture,
  count: number,
  state: MemberState,
): void {
  const members = Array.from({ length: count }, (_value, index) => ({
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
  relay.receiveExchange({ members });
}

/** Returns the number of retries that a process may send in a row. */
function spendRetries(relay: RelayFixture): number {
  const retryBudget = relay.state.pools.get("desk")?.retryBudget;
  let count = 0;
  while (retryBudget?.tryWithdraw() === true) {
    count += 1;
  }
  return count;
}

t.test("the fleet's retry budget is divided by its members", (t) => {
  const relay = new RelayFixture({ retryBurst: 54 });
  relay.learn([], routingOf());
  t.equal(computeRetryBurst(relay.state), 27);
  receiveMembers(relay, 6, "live");
  t.equal(computeRetryBurst(relay.state), 3);
  t.equal(spendRetries(relay), 3);
  receiveMembers(relay, 6, "gone");
  t.equal(computeRetryBurst(relay.state), 27);
  t.end();
});

t.test("each process of a large fleet may send one retry", (t) => {
  const relay = new RelayFixture({ retryBurst: 54 });
  relay.learn([], routingOf());
  receiveMembers(relay, 300, "live");
  t.equal(spendRetries(relay), 1);
  t.end();
});

t.test("a later era that a peer has read makes a process read the store once", (t) => {
  const relay = new RelayFixture();
  relay.reduce({ kind: "store_era_learned", era: 1 });
  const first = relay.receiveExchange({ storeEra: 2 });
  t.equal(only(first, "read_suspects").length, 1);
  const repeated = relay.receiveExchange({ storeEra: 2, sequence: 2 });
  t.strictSame(only(repeated, "read_suspects"), []);
  relay.reduce({ kind: "store_era_learned", era: 2 });
  const current = relay.receiveExchange({ storeEra: 2, sequence: 3 });
  t.strictSame(only(current, "read_suspects"), []);
  t.match(only(current, "answer_exchange"), [{ message: { storeEra: 2 } }]);
  t.end();
});
