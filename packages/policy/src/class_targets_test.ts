import t from "tap";
import { priorityOf, startDeadline } from "./class_targets.ts";
import { demandOf } from "./testing/demand_of.ts";

const { targets } = demandOf();

t.test("gives stricter targets a higher priority", (t) => {
  const looser = [
    { ...targets, preemptionsPerThousand: 200 },
    { ...targets, stallMs: 5_000 },
    { ...targets, firstTokenMs: 9_000 },
  ];
  for (const looserTargets of looser) {
    t.ok(priorityOf(targets) > priorityOf(looserTargets));
  }
  t.end();
});

t.test("computes a latest start that respects both targets", (t) => {
  const table = [
    { completionMs: 60_000, decodeMs: 1_000, expected: 1_400 },
    { completionMs: 2_000, decodeMs: 1_200, expected: 1_300 },
    { completionMs: 1_000, decodeMs: 5_000, expected: 950 },
  ];
  for (const { completionMs, decodeMs, expected } of table) {
    const demand = { arrivedAt: 500, targets: { ...targets, completionMs } };
    const estimate = { firstTokenMs: 100, decodeMs };
    t.equal(startDeadline(demand, estimate), expected);
  }
  t.end();
});
