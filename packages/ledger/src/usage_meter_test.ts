import t from "tap";
import type { Batch } from "./usage.ts";
import {
  maxDetailedRecords,
  maxUnsettledBatches,
  UsageMeter,
} from "./usage_meter.ts";

const start = Date.UTC(2026, 11, 3, 12);
const hourMs = 3_600_000;

t.test("usage is summed in records of whole seconds", (t) => {
  const meter = new UsageMeter("e");
  for (const wall of [start + 999, start + 1_000, start + 1_999]) {
    meter.add(cause("a"), "output", { amount: 1, wall });
  }
  meter.close(closingAt(start + 2_000));
  const [batch] = meter.unsettled(0, 1);
  t.strictSame(batch?.records.map(({ at, amount }) => [at - start, amount]), [
    [0, 1],
    [1_000, 2],
  ]);
  t.end();
});

t.test("batches are kept until they are settled", (t) => {
  const meter = new UsageMeter("e");
  for (const wall of [start, start + 1_000, start + 2_000]) {
    meter.add(cause("a"), "output", { amount: 1, wall });
    meter.close(closingAt(wall));
  }
  meter.settle(2);
  meter.settle(1);
  t.equal(meter.settledThrough, 2);
  t.strictSame(meter.unsettled(0, 9).map(({ sequence }) => sequence), [3]);
  meter.settle(3);
  t.equal(meter.settled, true);
  t.end();
});

t.test("an idle epoch closes one empty batch a day", (t) => {
  const meter = new UsageMeter("e");
  meter.add(cause("a"), "output", { amount: 1, wall: start });
  meter.close(closingAt(start));
  meter.close(closingAt(start + 23 * hourMs));
  meter.close(closingAt(start + 25 * hourMs));
  meter.close(closingAt(start + 26 * hourMs));
  const lengths = meter.unsettled(0, 9).map(({ records }) => records.length);
  t.strictSame(lengths, [1, 0]);
  t.end();
});

t.test("no unit is lost and memory is bounded without settlement", (t) => {
  const meter = new UsageMeter("e");
  const seconds = 3_000;
  const change = start + 1_234_000;
  for (let second = 0; second < seconds; second++) {
    const wall = start + second * 1_000;
    for (let index = 0; index < 4; index++) {
      const from = cause(`w${(second * 4 + index) % 97}`);
      meter.add(from, "output", { amount: 1, wall });
    }
    meter.close({
      now: wall,
      versionAt: (at) => at < change ? 1 : 2,
    });
  }
  const batches = [...meter.unsettled(0, maxUnsettledBatches)];
  t.equal(batches.length, maxUnsettledBatches);
  t.ok(meter.openRecordCount < 2 * maxDetailedRecords);
  meter.settle(maxUnsettledBatches);
  meter.close(closingAt(start + seconds * 1_000));
  batches.push(...meter.unsettled(0, 1));
  const before = sumOf(batches, (at) => at < change);
  t.equal(before, 4 * 1_234);
  t.equal(sumOf(batches, () => true), 4 * seconds);
  t.end();
});

function cause(workspace: string): { workClass: string; workspace: string } {
  return { workClass: "tag", workspace };
}

function closingAt(now: number): { now: number; versionAt: () => number } {
  return { now, versionAt: () => 1 };
}

function sumOf(
  batches: readonly Batch[],
  accept: (at: number) => boolean,
): number {
  return batches
    .flatMap(({ records }) => records)
    .filter(({ at }) => accept(at))
    .reduce((sum, { amount }) => sum + amount, 0);
}
