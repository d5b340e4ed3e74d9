import t from "tap";
import type { OpenGeneration } from "./held_usage.ts";
import { HeldUsage, originTimeoutMs, takeOverTimeoutMs } from "./held_usage.ts";
import type { Batch } from "./usage.ts";

const generations: readonly OpenGeneration[] = [];

t.test("a holder reports the sequence up to which it has no gap", (t) => {
  const held = new HeldUsage();
  held.hold(
    { epoch: "e", batches: batches(3, 4, 6), settled: 2, generations },
    0,
  );
  t.equal(held.heldThrough("e", 2), 4);
  t.equal(held.heldThrough("e", 0), 0);
  t.equal(held.heldThrough("f", 7), 7);
  t.end();
});

t.test("batches are overdue once their origin has timed out", (t) => {
  const held = new HeldUsage();
  held.hold({ epoch: "e", batches: batches(1, 2), settled: 0, generations }, 0);
  held.hold(
    { epoch: "e", batches: batches(3), settled: 1, generations },
    1_000,
  );
  const dueAt = 1_000 + originTimeoutMs;
  t.strictSame(held.findOverdue(dueAt - 1), []);
  t.strictSame(held.findOverdue(dueAt).map(({ sequence }) => sequence), [2, 3]);
  held.removeSettled("e", (sequence) => sequence === 2);
  t.equal(held.size, 1);
  held.removeSettled("e", () => true);
  held.removeExpired(dueAt);
  t.equal(held.size, 0);
  t.end();
});

t.test("a generation can be taken over once its origin has timed out", (t) => {
  const held = new HeldUsage();
  const open = {
    generation: "e-1",
    upstream: "engine-0",
    workClass: "report",
    workspace: "household",
    charged: 0,
  };
  for (const [charged, at] of [[10, 0], [25, 1_000]] as const) {
    const generations = [{ ...open, charged }];
    held.hold({ epoch: "e", batches: [], settled: 0, generations }, at);
  }
  const dueAt = 1_000 + takeOverTimeoutMs;
  t.equal(held.findOrphan("e-1", dueAt - 1), null);
  t.equal(held.findOrphan("e-1", dueAt)?.charged, 25);
  t.equal(held.findOrphan("e-2", dueAt), null);
  held.removeExpired(dueAt);
  t.equal(held.findOrphan("e-1", dueAt)?.charged, 25);
  t.end();
});

function batches(...sequences: readonly number[]): readonly Batch[] {
  return sequences.map((sequence) => ({ epoch: "e", sequence, records: [] }));
}
