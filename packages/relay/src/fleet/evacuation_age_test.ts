import { hashText, Random } from "@lavenderferry/runtime";
import type { Test } from "tap";
import t from "tap";
import type { RelayFault } from "../fixtures/reader_fleet.ts";
import { ReaderFleet } from "../fixtures/reader_fleet.ts";

const seeds = Number(process.env["EVACUATION_SEEDS"] ?? 2);
const firstSeed = Number(process.env["EVACUATION_SEED"] ?? 1);

/** Sizes of fleets: a process alone, a mesh, and one with few readers. */
const sizes = [1, 8, 61];

const evacuationBoundMs = 5_000;
const contactMs = 4_000;

/** The bound that is set, so that two tries of a read end within `contactMs`. */
const freshnessMs = 0.65 * contactMs;

const settleMs = 4_000;
const stepMs = 50;
const faultMs = 2_500;
const playMs = 20_000;
const dataCentres = ["a", "b", "c"];

const faults: readonly RelayFault[] = [
  { isDown: true },
  { isCutFromStore: true },
  { isBehind: true },
  { isRefused: true },
  { isMute: true },
];

/** One play: orders, restores and faults in random order. */
class Play {
  readonly #fleet: ReaderFleet;
  readonly #random: Random;
  /** Relays of an older build, which know of no evacuations. */
  readonly #older: ReadonlySet<string>;
  readonly #faultsAt = new Map<string, number>();
  /** Relays that have misjudged a data centre beyond the bound. */
  readonly late = new Set<string>();
  #ordered: readonly string[] = [];
  #orderedAt = -Infinity;

  constructor(relayCount: number, seed: number) {
    this.#random = new Random(hashText(`evacuations ${seed}`));
    this.#fleet = new ReaderFleet({
      seed,
      relayCount,
      freshnessMs,
      evacuationBoundMs,
    });
    const ids = [...this.#fleet.relays.keys()];
    this.#older = new Set(
      ids.slice(1).filter(() => this.#random.fraction() < 0.2),
    );
    for (const id of this.#older) {
      this.#fleet.setFault(id, { isOlderBuild: true });
    }
    this.#fleet.run(settleMs);
  }

  run(): void {
    const fleet = this.#fleet;
    let copy = fleet.copyStore();
    let copied = this.#ordered;
    const end = fleet.now + playMs;
    while (fleet.now < end) {
      const choice = this.#random.integerBelow(60);
      if (choice < 3) {
        this.#order(dataCentres.filter(() => this.#random.fraction() < 0.4));
        fleet.evacuate(this.#ordered);
      } else if (choice === 3) {
        copy = fleet.copyStore();
        copied = this.#ordered;
      } else if (choice === 4) {
        fleet.restore(copy);
        this.#order(copied);
      } else if (choice < 10) {
        this.#startFault();
      }
      this.#endFaults();
      fleet.run(stepMs);
      this.#judge();
    }
    for (const id of fleet.relays.keys()) {
      this.#end(id);
    }
    fleet.run(evacuationBoundMs);
    this.#judge();
  }

  #order(names: readonly string[]): void {
    this.#ordered = names;
    this.#orderedAt = this.#fleet.now;
  }

  #startFault(): void {
    const ids = [...this.#fleet.relays.keys()];
    const share = [1, 0.5, 0.2][this.#random.integerBelow(3)] ?? 1;
    const fault = faults[this.#random.integerBelow(faults.length)] ?? {};
    const restarts = this.#random.fraction() < 0.3;
    for (const id of ids) {
      if (this.#random.fraction() < share && !this.#older.has(id)) {
        this.#faultsAt.set(id, this.#fleet.now);
        if (restarts) {
          this.#fleet.restart(id);
        } else {
          this.#fleet.setFault(id, fault);
        }
      }
    }
  }

  #endFaults(): void {
    for (const [id, at] of this.#faultsAt) {
      if (this.#fleet.now - at === faultMs) {
        this.#end(id);
      }
    }
  }

  #end(id: string): void {
    this.#fleet.setFault(id, { isOlderBuild: this.#older.has(id) });
  }

  #judge(): void {
    const { now } = this.#fleet;
    for (const id of this.#fleet.relays.keys()) {
      const lastFaultAt = this.#faultsAt.get(id) ?? -Infinity;
      const isInContact = now > lastFaultAt + faultMs + contactMs;
      const known = this.#fleet.evacuatedAt(id);
      const isRight = JSON.stringify(known) === JSON.stringify(this.#ordered);
      if (
        isInContact && now > this.#orderedAt + evacuationBoundMs && !isRight
      ) {
        this.late.add(`${id} at ${now}`);
      }
    }
  }
}

function play(t: Test, relayCount: number, seed: number): void {
  const subject = new Play(relayCount, seed);
  subject.run();
  t.strictSame([...subject.late], [], `${relayCount} relays, seed ${seed}`);
}

for (const relayCount of sizes) {
  // Orders did not reach relays that do not read the store, that start, whose
  // peers are of older builds, or that had seen a later version before a restore.
  t.test(`${relayCount} relays know of evacuations in time`, (t) => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
      play(t, relayCount, seed);
    }
    t.end();
  });
}

/** Returns the milliseconds until all relays but some know an order. */
function spreadMs(fleet: ReaderFleet, exceptIds: readonly string[]): number {
  fleet.evacuate(["b"]);
  const orderedAt = fleet.now;
  const ids = [...fleet.relays.keys()].filter((id) => !exceptIds.includes(id));
  while (
    fleet.now < orderedAt + 2 * evacuationBoundMs &&
    ids.some((id) => fleet.evacuatedAt(id).length === 0)
  ) {
    fleet.run(stepMs);
  }
  return fleet.now - orderedAt;
}

t.test("an order reaches all relays at once through a few readers", (t) => {
  const fleet = new ReaderFleet({
    seed: 1,
    relayCount: 61,
    freshnessMs,
    evacuationBoundMs,
  });
  fleet.run(settleMs);
  const elapsedMs = spreadMs(fleet, []);
  t.ok(elapsedMs <= 300, `${elapsedMs} ms of simulated time`);
  t.end();
});

t.test("relays that the store refuses learn of an order from peers", (t) => {
  const fleet = new ReaderFleet({
    seed: 2,
    relayCount: 61,
    freshnessMs,
    evacuationBoundMs,
  });
  fleet.run(settleMs);
  const others = [...fleet.relays.keys()]
    .filter((id) => !fleet.readerIds.includes(id));
  for (const id of others) {
    fleet.setFault(id, { isRefused: true });
  }
  const elapsedMs = spreadMs(fleet, []);
  t.ok(elapsedMs <= evacuationBoundMs, `${elapsedMs} ms of simulated time`);
  t.end();
});

// The routing was confirmed by older builds, so the store was not asked.
t.test("a relay whose readers are older builds reads evacuations itself", (t) => {
  const fleet = new ReaderFleet({
    seed: 3,
    relayCount: 61,
    freshnessMs,
    evacuationBoundMs,
  });
  fleet.run(settleMs);
  const { readerIds } = fleet;
  for (const id of readerIds) {
    fleet.setFault(id, { isOlderBuild: true });
  }
  fleet.run(settleMs);
  const elapsedMs = spreadMs(fleet, readerIds);
  t.ok(elapsedMs <= evacuationBoundMs, `${elapsedMs} ms of simulated time`);
  t.end();
});
