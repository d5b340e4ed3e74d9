import { hashText, Random } from "@lavenderferry/runtime";
import type { Test } from "tap";
import t from "tap";
import { ColdLimits } from "./cold_limits.ts";

const tolerance = { over: 1.5, slack: 5 };
const playMs = 20_000;
const until = 1_000_000;

const atMs = (monotonic: number) => ({ monotonic, wall: monotonic });

/** How processes take part in a play; each knows some of the members. */
interface PlayOptions {
  readonly count: number;
  readonly rate: number;
  readonly seed: number;
  /** Milliseconds by which requests of a process may be delayed. */
  readonly delayMs?: number;
  readonly tolerance?: { readonly over: number; readonly slack: number };
}

/** Returns the times at which requests reach a cold upstream. */
function play(options: PlayOptions): readonly number[] {
  const { count, rate, seed, delayMs = 0 } = options;
  const random = new Random(hashText(`cold ${seed}`));
  const ids = Array.from({ length: count }, (_, index) => `relay-${index}`);
  const processes = ids.map((id) => {
    const limits = new ColdLimits(id, options.tolerance ?? tolerance);
    limits.setMembers(ids, atMs(0));
    return { limits, learnsAt: random.integerBelow(500) };
  });
  const arrivals: number[] = [];
  for (let now = 0; now < playMs; now += 5) {
    const at = atMs(now);
    // Bursts after a rest are where shares add up.
    const isBusy = now % 5_000 < 3_500;
    for (const { limits, learnsAt } of processes) {
      if (now >= learnsAt) {
        limits.limit("e1", { requestsPerSecond: rate, until, at });
      }
      if (isBusy && now >= learnsAt && limits.nextStartAt("e1") <= now) {
        limits.recordStart("e1", at);
        arrivals.push(now + random.fraction() * delayMs);
      }
    }
  }
  return arrivals.sort((a, b) => a - b);
}

/** Returns the largest number of arrivals in any one second. */
function peakOf(arrivals: readonly number[]): number {
  let first = 0;
  let peak = 0;
  for (const [index, time] of arrivals.entries()) {
    while ((arrivals[first] ?? Infinity) < time - 1_000) {
      first += 1;
    }
    peak = Math.max(peak, index - first + 1);
  }
  return peak;
}

// Each process may send one request at once after it was idle, so that shares of
// many processes add up to more than a cold engine bears.
t.test("all processes together stay below what a cold upstream bears", (t: Test) => {
  for (const count of [1, 3, 8, 69, 300]) {
    for (const rate of [0.5, 2, 10, 40, 200]) {
      const arrivals = play({ count, rate, seed: count, delayMs: 100 });
      const bound = tolerance.over * rate + tolerance.slack;
      const peak = peakOf(arrivals);
      t.ok(peak <= bound, `${count} at ${rate}/s: ${peak} of ${bound}`);
      t.ok(arrivals.length > 0, "and use it");
    }
  }
  t.end();
});

t.test("a tolerance without slack is kept to as well", (t: Test) => {
  for (const over of [1, 1.2, 2]) {
    const strict = { over, slack: 0 };
    const arrivals = play({ count: 20, rate: 10, seed: 1, tolerance: strict });
    const peak = peakOf(arrivals);
    t.ok(peak <= 10 * over, `${over}: ${peak}`);
  }
  t.end();
});

t.test("a process that does not know the others sends nothing", (t: Test) => {
  const limits = new ColdLimits("relay-1", tolerance);
  limits.limit("e1", { requestsPerSecond: 10, until: 5_000, at: atMs(0) });
  t.equal(limits.nextStartAt("e1"), Infinity);
  t.equal(limits.nextStartAt("e2"), -Infinity);
  limits.setMembers([], atMs(100));
  t.ok(limits.nextStartAt("e1") < 1_000);
  t.strictSame(limits.removeExpired(atMs(4_999)), []);
  t.strictSame(limits.removeExpired(atMs(5_000)), ["e1"]);
  t.equal(limits.nextStartAt("e1"), -Infinity);
  t.end();
});
