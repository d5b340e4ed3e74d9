import { deflateRawSync } from "node:zlib";
import type { Test } from "tap";
import t from "tap";
import { largeRouting, NarrowFleet } from "../fixtures/narrow_fleet.ts";
import { routingOf } from "../fixtures/relay_fixture.ts";

/** Milliseconds within which a version must be in force after it was written. */
const propagationMs = 3_000;

const addedRoutes = 1_152;
const settleMs = 6_000;
const smallVersions = 8;
const smallVersionPeriodMs = 300;

const routing = routingOf();
const largeText = JSON.stringify({ ...routing, ...largeRouting(addedRoutes) });

/** A document is divided into lines, so that it compresses a little worse. */
const compressedBytes = 1.1 * deflateRawSync(largeText).length;

function startFleet(relayCount: number): NarrowFleet {
  const fleet = new NarrowFleet({
    relayCount,
    megabitsPerSecond: 10,
    freshnessMs: 2_600,
    routing,
  });
  fleet.run(settleMs);
  return fleet;
}

/** Writes a version and checks that all relays have it in time. */
function checkInTime(
  t: Test,
  fleet: NarrowFleet,
  writes: readonly { readonly version: number; readonly at: number }[],
): void {
  for (const { version, at } of writes) {
    const delays = fleet.timesOf(version).map((time) => time - at);
    const latest = Math.max(...delays);
    t.ok(latest <= propagationMs, `version ${version} after ${latest} ms`);
  }
}

// Each exchange with a relay that had the version carried the whole of it, so that
// links were saturated, exchanges timed out and relays suspected each other.
t.test("a large routing and small versions after it reach 69 relays in time", (t) => {
  const fleet = startFleet(69);
  const bytesBefore = fleet.documentBytes;
  const at = fleet.now;
  const writes = [{ version: fleet.write(largeRouting(addedRoutes)), at }];
  fleet.run(propagationMs);
  for (let index = 0; index < smallVersions; index++) {
    const services = [
      { name: `new-${index}`, connections: 10, engines: null },
      ...routing.services,
    ];
    writes.push({ version: fleet.write({ services }), at: fleet.now });
    fleet.run(smallVersionPeriodMs);
  }
  fleet.run(propagationMs);
  checkInTime(t, fleet, writes);
  t.strictSame(fleet.suspicions, []);
  const relays = fleet.relays.size;
  const bytes = fleet.documentBytes - bytesBefore;
  t.ok(bytes > 0, "relays read the routing from each other");
  t.ok(
    bytes <= relays * writes.length * compressedBytes,
    `${bytes} bytes of documents`,
  );
  t.end();
});

// A relay that asks a peer which has ended must go on to another one in time.
t.test("a large routing is in force in time though relays end as it is sent", (t) => {
  const fleet = startFleet(69);
  const at = fleet.now;
  const version = fleet.write(largeRouting(addedRoutes));
  while (fleet.documentBytes === 0) {
    fleet.run(1);
  }
  const holders = [...fleet.relays].filter(([, { state }]) =>
    state.routeTable?.routing.version === version
  );
  for (const [id] of holders.slice(0, 4)) {
    fleet.dead.add(id);
  }
  fleet.run(2 * propagationMs);
  checkInTime(t, fleet, [{ version, at }]);
  t.ok(fleet.lostReads > 0, "some reads were under way");
  t.end();
});
