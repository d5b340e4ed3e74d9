import { readerCount } from "@lavenderferry/fleet";
import { Random } from "@lavenderferry/runtime";
import type { Test } from "tap";
import t from "tap";
import type { RelayFault } from "../fixtures/reader_fleet.ts";
import { ReaderFleet } from "../fixtures/reader_fleet.ts";

const seeds = Number(process.env["READER_SEEDS"] ?? 2);

/** Sizes of fleets: of one site, of a grown one and of a large one. */
const sizes = [8, 61, 195];

/** The tightest bound within which relays must know of changes. */
const boundMs = 2_000;

/** The bound of the largest fleets, in milliseconds. */
const largeBoundMs = 4_000;

/** Time in which a fleet that has just started settles. */
const settleMs = 4_000;

/**
 * What befalls readers, alone or all together. A bound does not hold for the
 * relay that a fault befalls.
 */
const faults: Readonly<Record<string, RelayFault>> = {
  "are down": { isDown: true },
  "are cut off from the store": { isCutFromStore: true },
  "send nothing to peers": { isMute: true },
  "are told nothing new by the store": { isBehind: true },
};

/** Returns the relays to which a change did not come, while it holds for them. */
function findUnaware(
  fleet: ReaderFleet,
  isAware: (id: string) => boolean,
): readonly string[] {
  return [...fleet.relays.keys()]
    .filter((id) => fleet.isSound(id) && !isAware(id));
}

/** Changes the store and checks that all sound relays know it in time. */
function playChanges(t: Test, fleet: ReaderFleet, name: string): void {
  const routingVersion = fleet.changeRouting();
  fleet.setUpstream("e1", "leaving");
  fleet.run(boundMs);
  const unawareOfUpstream = findUnaware(fleet, (id) => {
    const pool = fleet.relays.get(id)?.state.pools.get("models");
    return pool?.openUpstreams.has("e1") === false;
  });
  const unawareOfRouting = findUnaware(fleet, (id) => {
    const table = fleet.relays.get(id)?.state.routeTable;
    return table?.routing.version === routingVersion;
  });
  t.strictSame(unawareOfUpstream, [], `${name}: the upstream that leaves`);
  t.strictSame(unawareOfRouting, [], `${name}: the routing`);
}

for (const relayCount of sizes) {
  t.test(`changes reach all of ${relayCount} relays in time`, (t) => {
    const fleet = new ReaderFleet({
      seed: 1,
      relayCount,
      freshnessMs: boundMs,
    });
    fleet.run(settleMs);
    t.equal(fleet.readerIds.length, Math.min(relayCount, readerCount));
    playChanges(t, fleet, "calm");
    t.end();
  });
}

t.test("changes reach all sound relays whatever befalls the readers", (t) => {
  for (const [name, fault] of Object.entries(faults)) {
    for (let seed = 1; seed <= seeds; seed++) {
      const fleet = new ReaderFleet({
        seed,
        relayCount: 61,
        freshnessMs: boundMs,
      });
      fleet.run(settleMs);
      for (const id of fleet.readerIds) {
        fleet.setFault(id, fault);
      }
      playChanges(t, fleet, `all readers ${name}, seed ${seed}`);
    }
  }
  t.end();
});

t.test("changes reach all sound relays when faults mix", (t) => {
  for (let seed = 1; seed <= seeds; seed++) {
    const random = new Random(seed);
    const kinds = Object.values(faults);
    const fleet = new ReaderFleet({
      seed,
      relayCount: 61,
      freshnessMs: boundMs,
    });
    fleet.run(settleMs);
    for (const id of fleet.relays.keys()) {
      const isReader = fleet.readerIds.includes(id);
      const fault = kinds[random.integerBelow(kinds.length)];
      if (fault !== undefined && random.fraction() < (isReader ? 0.9 : 0.3)) {
        fleet.setFault(id, fault);
      }
    }
    playChanges(t, fleet, `seed ${seed}`);
  }
  t.end();
});

t.test("a large fleet makes few calls, also when its readers are lost", (t) => {
  const fleet = new ReaderFleet({
    seed: 1,
    relayCount: 195,
    freshnessMs: largeBoundMs,
  });
  fleet.run(10_000);
  const calls = [...fleet.callsPerSecond.values()];
  const atRest = calls.slice(4, 9);
  const mean = atRest.reduce((sum, count) => sum + count, 0) / atRest.length;
  t.ok(mean < 0.2 * 195, `${mean} calls a second`);
  for (const id of fleet.readerIds) {
    fleet.setFault(id, { isDown: true });
  }
  fleet.run(5_000);
  const most = Math.max(...[...fleet.callsPerSecond.values()].slice(10));
  t.ok(most <= 2 * 195, `at most two calls a process, ${most} in a second`);
  t.end();
});
