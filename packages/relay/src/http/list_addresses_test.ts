import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import t from "tap";
import { ReaderFleet } from "../fixtures/reader_fleet.ts";
import { RelayFixture } from "../fixtures/relay_fixture.ts";
import { AddressChecks } from "./address_checks.ts";
import { listAddresses } from "./list_addresses.ts";

const relayCount = 69;
const settleMs = 6_000;
const stepMs = 500;

/** Time after which an ended relay may not be listed beside a running one. */
const listedMs = 4_000 + 3_000;

/** Time until a message to a machine that is gone is given up. */
const timeoutMs = 1_000;

/** Data centres whose callers ask; the relays of the second one end. */
const dataCentres = ["a", "b"];

/** Which relays end, by their position. */
const ends: Readonly<Record<string, (index: number) => boolean>> = {
  "one relay": (index) => index === 7,
  "a data centre": (index) => index % 5 === 1,
  "half of the relays": (index) => index % 2 === 1,
  "all but one": (index) => index !== 10,
};

for (const [name, isEnded] of Object.entries(ends)) {
  // Few peers call each relay, so that those that end together were listed for up
  // to nine seconds.
  t.test(`${name} that ended is not listed for long`, async (t) => {
    const fleet = new ReaderFleet({
      seed: 4,
      relayCount,
      freshnessMs: 2_600,
      timeoutMs,
    });
    fleet.run(settleMs);
    const ids = [...fleet.relays.keys()];
    const ended = new Set(ids.filter((_, index) => isEnded(index)));
    const asked = ids.filter((id, index) => index % 7 === 3 && !ended.has(id));
    const checks = new Map(asked.map((id) => [
      id,
      new AddressChecks((address) => {
        const [peer = ""] = address.split(":");
        return Promise.resolve(!ended.has(peer) || fleet.now < endedAt);
      }),
    ]));
    const endedAt = fleet.now + 1_000;
    const late: string[] = [];
    while (fleet.now < endedAt + listedMs + 8_000) {
      fleet.run(stepMs);
      if (fleet.now === endedAt) {
        for (const id of ended) {
          fleet.setFault(id, { isDown: true });
        }
      }
      for (const id of asked) {
        const { state } = fleet.relays.get(id) ?? new RelayFixture();
        for (const dataCentre of dataCentres) {
          const addresses = await listAddresses(state, {
            dataCentre,
            rotation: fleet.now / stepMs,
            checks: checks.get(id) ?? new AddressChecks(),
            now: fleet.now,
          });
          const isWrong = addresses.some((address) =>
            ended.has(address.split(":")[0] ?? "")
          );
          if (fleet.now > endedAt + listedMs && isWrong) {
            late.push(`${id} at ${fleet.now - endedAt}`);
          }
        }
      }
    }
    t.strictSame(late, []);
    t.end();
  });
}

t.test("relays that run are listed, however few", async (t) => {
  const fleet = new ReaderFleet({ seed: 1, relayCount, freshnessMs: 2_600 });
  fleet.run(settleMs);
  const [first] = fleet.relays.values();
  const { state } = first ?? new RelayFixture();
  const options = { dataCentre: "a", rotation: 0, now: fleet.now };
  const checked: string[] = [];
  const list = (isReachable: (address: string) => boolean, now: number) =>
    listAddresses(state, {
      ...options,
      now,
      checks: new AddressChecks((address) => {
        checked.push(address);
        return Promise.resolve(isReachable(address));
      }),
    });
  t.equal((await list(() => true, 0)).length, 14);
  t.equal(checked.length, 13, "it does not check itself");
  t.strictSame(await list(() => false, 0), ["relay-1:1"]);
  const some = await list((address) => address === "relay-6:1", 0);
  t.strictSame([...some].sort(), ["relay-1:1", "relay-6:1"]);
  t.end();
});

t.test("a check connects, and its outcome is used for a while", async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const member = { address: `127.0.0.1:${port}` } as never;
  const checks = new AddressChecks();
  t.equal((await checks.filterReachable([member], 0)).length, 1);
  await new Promise<void>((resolve) => server.close(() => resolve()));
  t.equal((await checks.filterReachable([member], 4_999)).length, 1);
  t.equal((await checks.filterReachable([member], 5_000)).length, 0);
  t.end();
});

// One lost packet hid a relay that runs for as long as a success is used.
t.test("a failed check is repeated after a second", async (t) => {
  const member = { address: "127.0.0.1:1" } as never;
  let checks = 0;
  const addressChecks = new AddressChecks(() => Promise.resolve(++checks > 1));
  const count = async (now: number) =>
    (await addressChecks.filterReachable([member], now)).length;
  t.equal(await count(0), 0);
  t.equal(await count(999), 0);
  t.equal(await count(1_000), 1);
  t.equal(await count(5_999), 1);
  t.equal(checks, 2);
});
