import { hashText, Random } from "@lavenderferry/runtime";
import type { Test } from "tap";
import t from "tap";
import { ReaderFleet } from "../fixtures/reader_fleet.ts";

const seeds = Number(process.env["ROUTING_AGE_SEEDS"] ?? 4);
const outageSeeds = 100;
const firstSeed = Number(process.env["ROUTING_AGE_SEED"] ?? 1);

/** Sizes of fleets: a process alone, small ones, and one with few readers. */
const sizes = [1, 3, 8, 61];

/** Milliseconds within which a routing must be in force. */
const propagationMs = 2_000;

/** Milliseconds after a fault from which the bound holds again. */
const contactMs = 3_000;

/** The bound that is set, so that two tries of a read end within `contactMs`. */
const freshnessMs = 0.65 * contactMs;

const settleMs = 4_000;
const stepMs = 50;

/** Milliseconds for which processes are stopped or refused by the store. */
const faultMs = 1_500;

/** Longest outage of the store, in milliseconds. */
const maxOutageMs = 15_000;

/** What happens at a moment of a play, to one relay or to all. */
interface Step {
  readonly at: number;
  readonly what: "change" | "silence" | "stop" | "cut";
  readonly ids: readonly string[];
}

/** Returns random choices; the first ones of small seeds are all alike. */
function randomOf(seed: number): Random {
  return new Random(hashText(`play ${seed}`));
}

/** Draws changes and faults that come in series and overlap. */
function drawSteps(random: Random, ids: readonly string[]): readonly Step[] {
  const steps: Step[] = [];
  const draw = (what: Step["what"], count: number, spreadMs: number) => {
    for (let index = 0; index < count; index++) {
      const share = [1, 0.5, 0.2][random.integerBelow(3)] ?? 1;
      const hit = ids.filter(() => random.fraction() < share);
      const at = settleMs + random.integerBelow(spreadMs);
      steps.push({ at, what, ids: hit });
    }
  };
  draw("silence", 1 + random.integerBelow(4), 6_000);
  draw("change", 2 + random.integerBelow(6), 8_000);
  draw("stop", random.integerBelow(3), 6_000);
  draw("cut", random.integerBelow(3), 6_000);
  return steps.sort((a, b) => a.at - b.at);
}

/** A play with the times of its changes and of the last fault of each relay. */
class Play {
  readonly #fleet: ReaderFleet;
  readonly #faultsAt = new Map<string, number>();
  /** Versions of the routing and the times of their changes. */
  readonly #changes: { readonly version: number; readonly at: number }[] = [];
  readonly #stale = new Map<string, number>();

  constructor(fleet: ReaderFleet) {
    this.#fleet = fleet;
  }

  /** Returns the relays that had an old routing, and for how long. */
  run(steps: readonly Step[]): Readonly<Record<string, number>> {
    const last = steps.at(-1)?.at ?? 0;
    const due = [...steps];
    const ends: { readonly at: number; readonly id: string }[] = [];
    const fleet = this.#fleet;
    while (fleet.now < last + faultMs + contactMs + 2_000) {
      while ((due[0]?.at ?? Infinity) <= fleet.now) {
        ends.push(...this.#start(due.shift()));
      }
      for (const { id } of ends.filter(({ at }) => at <= fleet.now)) {
        if (!ends.some((end) => end.id === id && end.at > fleet.now)) {
          fleet.setFault(id, {});
        }
      }
      fleet.run(stepMs);
      this.#judge();
    }
    return Object.fromEntries(this.#stale);
  }

  #start(step: Step | undefined) {
    const { what, ids } = step ?? { what: "change", ids: [] };
    const { now } = this.#fleet;
    if (what === "change") {
      this.#changes.push({ version: this.#fleet.changeRouting(), at: now });
      return [];
    }
    for (const id of ids) {
      if (what === "silence") {
        this.#fleet.silence(id);
        this.#faultsAt.set(id, Math.max(now, this.#faultsAt.get(id) ?? 0));
      } else {
        const isDown = what === "stop";
        this.#fleet.setFault(id, { isDown, isCutFromStore: !isDown });
        this.#faultsAt.set(id, now + faultMs);
      }
    }
    return what === "silence"
      ? []
      : ids.map((id) => ({ at: now + faultMs, id }));
  }

  #judge(): void {
    const { now } = this.#fleet;
    const required = Math.max(
      0,
      ...this.#changes.filter(({ at }) => now > at + propagationMs)
        .map(({ version }) => version),
    );
    for (const id of this.#fleet.relays.keys()) {
      const isInContact = now > (this.#faultsAt.get(id) ?? -Infinity) +
          contactMs;
      if (isInContact && this.#fleet.routingVersionOf(id) < required) {
        this.#stale.set(id, (this.#stale.get(id) ?? 0) + stepMs);
      }
    }
  }
}

function play(t: Test, relayCount: number, seed: number): void {
  const fleet = new ReaderFleet({ seed, relayCount, freshnessMs });
  fleet.run(settleMs);
  const steps = drawSteps(randomOf(seed), [...fleet.relays.keys()]);
  t.strictSame(
    new Play(fleet).run(steps),
    {},
    `${relayCount} relays, seed ${seed}`,
  );
}

/** Milliseconds from the silence to a change, before and after it. */
const changeOffsets = [-100, 100, 900];

// The moment within a long poll decides how long its connection stays silent.
t.test("a routing is not older than the bounds whenever connections go silent", (t) => {
  for (let phaseMs = 0; phaseMs < 2_600; phaseMs += stepMs) {
    for (const offsetMs of changeOffsets) {
      const fleet = new ReaderFleet({ seed: 1, relayCount: 1, freshnessMs });
      fleet.run(settleMs);
      const ids = [...fleet.relays.keys()];
      const at = settleMs + phaseMs + 100;
      const steps: readonly Step[] = [
        { at: settleMs, what: "change", ids },
        { at, what: "silence", ids },
        { at: at + offsetMs, what: "change", ids },
      ];
      const sorted = [...steps].sort((a, b) => a.at - b.at);
      const name = `silence at ${phaseMs} ms, change ${offsetMs} ms later`;
      t.strictSame(new Play(fleet).run(sorted), {}, name);
    }
  }
  t.end();
});

// The last try before the store was back and the pause after it took too long.
t.test("a routing is not older than the bounds after an outage of the store", (t) => {
  for (let seed = 1; seed <= outageSeeds; seed++) {
    const random = randomOf(seed);
    const fleet = new ReaderFleet({ seed, relayCount: 1, freshnessMs });
    fleet.run(settleMs);
    for (const id of fleet.relays.keys()) {
      fleet.setFault(id, { isCutFromStore: true });
    }
    const outageMs = random.integerBelow(maxOutageMs);
    fleet.run(outageMs);
    const version = fleet.changeRouting();
    for (const id of fleet.relays.keys()) {
      fleet.setFault(id, {});
    }
    fleet.run(contactMs);
    const versions = [...fleet.relays.keys()]
      .map((id) => fleet.routingVersionOf(id));
    t.strictSame(versions, [version], `seed ${seed}, ${outageMs} ms`);
  }
  t.end();
});

for (const relayCount of sizes) {
  // A read over a silent connection was waited for longer than the bounds.
  t.test(`no routing of ${relayCount} relays is older than the bounds when connections go silent`, (t) => {
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
      play(t, relayCount, seed);
    }
    t.end();
  });
}
