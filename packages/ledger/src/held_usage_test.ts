import t from "tap";
import { HeldUsage, originTimeoutMs } from "./held_usage.ts";
import type { Batch } from "./usage.ts";

t.test("a holder tells up to where it holds without a gap", (t) => {
  const held = new HeldUsage();
  held.hold({ epoch: "e", batches: batches(3, 4, 6), settled: 2 }, 0);
  t.equal(held.heldThrough("e", 2), 4);
  t.equal(held.heldThrough("e", 0), 0);
  t.equal(held.heldThrough("f", 7), 7);
  t.end();
});

t.test("batches are settled by the holder once the origin is silent", (t) => {
  const held = new HeldUsage();
  held.hold({ epoch: "e", batches: batches(1, 2), settled: 0 }, 0);
  held.hold({ epoch: "e", batches: batches(3), settled: 1 }, 1_000);
  const due = 1_000 + originTimeoutMs;
  t.strictSame(held.overdue(due - 1), []);
  t.strictSame(held.overdue(due).map(({ sequence }) => sequence), [2, 3]);
  held.release("e", (sequence) => sequence === 2);
  t.equal(held.size, 1);
  held.release("e", () => true);
  held.trim(due);
  t.equal(held.size, 0);
  t.end();
});

function batches(...sequences: readonly number[]): readonly Batch[] {
  return sequences.map((sequence) => ({ epoch: "e", sequence, records: [] }));
}
