import type { Vm } from "@lavenderferry/platform";
import { toStoreVersion } from "@lavenderferry/platform";
import fc from "fast-check";
import t from "tap";
import type { RelayFixture } from "../fixtures/relay_fixture.ts";
import { upstreamOf } from "../fixtures/relay_fixture.ts";
import { RelayNetwork, synchronizationMs } from "../fixtures/relay_network.ts";

const relayIds = ["relay-1", "relay-2", "relay-3"];

/** Milliseconds after a restore within which upstreams write their rows again. */
const rewriteMs = 2_000;

/** Milliseconds after a restore within which rows of ended upstreams lapse. */
const lapseMs = 4_000;

/** Oldest copy from which the store is restored, in milliseconds. */
const maxCopyAgeMs = 10_000;

/** How far an upstream has come: it never goes back. */
type Phase = "running" | "leaving" | "ended";

/** States of the row of an upstream. */
const listedStates = {
  running: "live",
  leaving: "leaving",
  ended: undefined,
} as const;

/** The store's rows at one version. */
interface Snapshot {
  /** Milliseconds at which they were written. */
  readonly at: number;
  readonly version: number;
  readonly rows: ReadonlyMap<string, Vm>;
}

/** A set of upstreams for each relay. */
class SetsByRelay {
  readonly #sets = new Map<string, Set<string>>();

  of(relay: string): Set<string> {
    const set = this.#sets.get(relay) ?? new Set();
    this.#sets.set(relay, set);
    return set;
  }
}

/** Relays that read the list of a store that is restored from older copies. */
class RestoredFleet {
  readonly #network = new RelayNetwork(relayIds.length);
  readonly #phases = new Map<string, Phase>();
  /** Upstreams that a relay has used, and closed after they began to leave. */
  readonly #used = new SetsByRelay();
  readonly #closed = new SetsByRelay();
  readonly #readEras = new Map<string, number>();
  #snapshots: Snapshot[] = [{ at: 0, version: 1, rows: new Map() }];
  #era = 1;
  #now = 0;
  #restoredAt = -Infinity;
  readonly #faults: string[] = [];

  constructor() {
    for (const id of ["d1", "d2", "d3"]) {
      this.#phases.set(id, "running");
      this.#write(id);
    }
    for (const id of relayIds) {
      this.#relay(id).learn([], undefined, { version: toStoreVersion(1, 1) });
      this.read(id);
    }
  }

  /** Violations that the steps so far have shown. */
  get faults(): readonly string[] {
    return this.#faults;
  }

  /** Starts an upstream, or lets one leave or end. */
  advance(id: string): void {
    const phase = this.#phases.get(id);
    this.#phases.set(
      id,
      phase === undefined
        ? "running"
        : phase === "running"
        ? "leaving"
        : "ended",
    );
    this.#write(id);
  }

  /** Writes the row of an upstream as it is, in a new version. */
  renew(id: string): void {
    if (this.#phases.get(id) !== "ended") {
      this.#write(id);
    }
  }

  /** Restores the store from the copy of some transactions ago. */
  restore(age: number): void {
    const recent = this.#snapshots.filter(({ at }, index) =>
      index === this.#snapshots.length - 1 || this.#now - at <= maxCopyAgeMs
    );
    const copy = recent.at(-1 - age) ?? recent[0];
    if (copy !== undefined) {
      this.#snapshots = [{ ...copy, at: this.#now }];
      this.#era += 1;
      this.#restoredAt = this.#now;
    }
  }

  /** Lets a relay read the list. */
  read(id: string): void {
    const { version, rows } = this.#newest;
    const relay = this.#relay(id);
    const former = this.#openAt(id);
    const isFirstOfEra = this.#readEras.get(id) !== this.#era;
    this.#readEras.set(id, this.#era);
    const vms = [...rows.values()].map((row) => ({
      ...row,
      version: toStoreVersion(this.#era, row.version ?? 0),
    }));
    const listVersion = toStoreVersion(this.#era, version);
    this.#network.collect(id, relay.list(vms, { version: listVersion }));
    if (isFirstOfEra) {
      const open = this.#openAt(id);
      for (const upstream of former) {
        const isRunning = this.#phases.get(upstream) === "running";
        if (isRunning && !open.has(upstream)) {
          this.#faults.push(
            `${id} closed ${upstream}, which runs, at a restore`,
          );
        }
      }
    }
    this.#check();
  }

  wait(milliseconds: number): void {
    this.#rewriteBefore(milliseconds);
    this.#now += milliseconds;
    this.#network.wait(milliseconds);
    this.#check();
  }

  settle(isDelivered: () => boolean): void {
    this.#network.settle(isDelivered);
    this.#check();
  }

  /** Exchanges messages and reads until all relays know all. */
  synchronize(): void {
    for (let round = 0; round < 2; round++) {
      this.#rewriteBefore(synchronizationMs);
      this.#readAll();
      this.#now += synchronizationMs;
      this.#network.synchronize();
    }
    this.#readAll();
    for (const id of relayIds) {
      const open = this.#openAt(id);
      for (const [upstream, phase] of this.#phases) {
        const isOpen = open.has(upstream);
        if (isOpen !== (phase === "running")) {
          this.#faults.push(
            `${id} has ${upstream} ${isOpen ? "open" : "closed"}: ${phase}`,
          );
        }
      }
    }
  }

  #readAll(): void {
    for (const id of relayIds) {
      this.read(id);
    }
  }

  get #newest(): Snapshot {
    const [first] = this.#snapshots;
    const newest = this.#snapshots.at(-1) ?? first;
    if (newest === undefined) {
      throw new Error("The store has no snapshot");
    }
    return newest;
  }

  #write(id: string): void {
    const { version, rows } = this.#newest;
    const next = new Map(rows);
    const state = listedStates[this.#phases.get(id) ?? "ended"];
    next.delete(id);
    if (state !== undefined) {
      const fields = { pool: "desk", role: "service" as const, slots: 6 };
      next.set(id, upstreamOf(id, { ...fields, state, version: version + 1 }));
    }
    this.#snapshots.push({ at: this.#now, version: version + 1, rows: next });
  }

  /** Writes the rows again that a restore has lost, as far as due by then. */
  #rewriteBefore(milliseconds: number): void {
    const elapsedMs = this.#now + milliseconds - this.#restoredAt;
    for (const [id, phase] of this.#phases) {
      const state = this.#newest.rows.get(id)?.state;
      const dueMs = phase === "ended" ? lapseMs : rewriteMs;
      if (elapsedMs > dueMs && state !== listedStates[phase]) {
        this.#write(id);
      }
    }
  }

  /** Checks that nothing that was closed as it left gets requests again. */
  #check(): void {
    for (const id of relayIds) {
      const open = this.#openAt(id);
      const used = this.#used.of(id);
      const closed = this.#closed.of(id);
      for (const [upstream, phase] of this.#phases) {
        if (open.has(upstream)) {
          used.add(upstream);
        } else if (phase !== "running" && used.has(upstream)) {
          closed.add(upstream);
        }
        if (open.has(upstream) && closed.has(upstream)) {
          this.#faults.push(`${id} opened ${upstream} again: ${phase}`);
        }
      }
    }
  }

  #openAt(relayId: string): ReadonlySet<string> {
    const pool = this.#relay(relayId).state.pools.get("desk");
    return new Set(pool?.openUpstreams);
  }

  #relay(id: string): RelayFixture {
    const relay = this.#network.relays.get(id);
    if (relay === undefined) {
      throw new Error(`No relay is called "${id}"`);
    }
    return relay;
  }
}

type Step =
  | { readonly kind: "advance" | "renew"; readonly id: string }
  | { readonly kind: "restore"; readonly age: number }
  | { readonly kind: "read"; readonly relay: string }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "settle"; readonly delivered: readonly boolean[] }
  | { readonly kind: "synchronize" };

type StepHandlers = {
  readonly [Kind in Step["kind"]]: (
    fleet: RestoredFleet,
    step: Extract<Step, { kind: Kind }>,
  ) => void;
};

const stepHandlers: StepHandlers = {
  advance: (fleet, { id }) => fleet.advance(id),
  renew: (fleet, { id }) => fleet.renew(id),
  restore: (fleet, { age }) => fleet.restore(age),
  read: (fleet, { relay }) => fleet.read(relay),
  wait: (fleet, { ms }) => fleet.wait(ms),
  settle: (fleet, { delivered }) => {
    let index = 0;
    fleet.settle(() => delivered[index++ % delivered.length] ?? true);
  },
  synchronize: (fleet) => fleet.synchronize(),
};

const anyUpstream = fc.constantFrom("d1", "d2", "d3", "d4", "d5");

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant("advance" as const), id: anyUpstream }),
  fc.record({ kind: fc.constant("renew" as const), id: anyUpstream }),
  fc.record({
    kind: fc.constant("restore" as const),
    age: fc.integer({ min: 0, max: 6 }),
  }),
  fc.record({
    kind: fc.constant("read" as const),
    relay: fc.constantFrom(...relayIds),
  }),
  fc.record({
    kind: fc.constant("wait" as const),
    ms: fc.constantFrom(10, 100, 400, 900),
  }),
  fc.record({
    kind: fc.constant("settle" as const),
    delivered: fc.array(fc.boolean(), { minLength: 1, maxLength: 4 }),
  }),
  { weight: 1, arbitrary: fc.constant({ kind: "synchronize" as const }) },
);

function runSteps(steps: readonly Step[]): void {
  const fleet = new RestoredFleet();
  for (const step of steps) {
    const run = stepHandlers[step.kind] as (
      fleet: RestoredFleet,
      step: Step,
    ) => void;
    run(fleet, step);
    if (fleet.faults.length > 0) {
      throw new Error(fleet.faults.join("; "));
    }
  }
}

// A restored store lists upstreams as they were before they left.
t.test("an upstream that leaves stays closed when the store is restored", (t) => {
  const steps = fc.array(anyStep, { maxLength: 60, size: "max" });
  const property = fc.property(steps, runSteps);
  const seed = Number(process.env["RESTORED_LIST_SEED"] ?? 29);
  t.doesNotThrow(() => fc.assert(property, { seed, numRuns: 300 }));
  t.end();
});
