import type { Configuration, Statement } from "@lavenderferry/configuration";
import {
  ConfigurationStore,
  emptyConfiguration,
  VersionHistory,
} from "@lavenderferry/configuration";
import { KnownError } from "@lavenderferry/errors";
import type { Table } from "@lavenderferry/platform";
import { MemoryTable } from "@lavenderferry/platform";
import fc from "fast-check";
import t from "tap";
import { readCosts } from "./cost_report.ts";
import type { SettlementResult } from "./settlement.ts";
import {
  progressRetentionMs,
  Settlement,
  settlementDelayMs,
} from "./settlement.ts";
import type { Batch, Usage } from "./usage.ts";

const start = Date.UTC(2026, 11, 3, 23, 59, 30);
const settleTime = start + 600_000;
const dayMs = 24 * 3_600_000;

t.test("a batch that is delivered several times is settled once", async (t) => {
  const table = await tableWith([{ at: 0, share: 400_000 }]);
  const batch = batchOf("00000001", 1, [usageAt(start, 7)]);
  for (const now of [settleTime, settleTime + 1, settleTime + 2]) {
    await settlementOn(table).settle(1, [batch, batch], { now, fence: 0 });
  }
  t.strictSame(await costsByPartner(table), {
    ida: 2_800_000n,
    jan: 4_200_000n,
  });
});

t.test("batches after a gap are settled before it is filled", async (t) => {
  const table = await tableWith([{ at: 0, share: 0 }]);
  const settlement = settlementOn(table);
  const batches = [3, 1, 2].map((sequence) =>
    batchOf("00000001", sequence, [usageAt(start, 1)])
  );
  const settledThrough: number[] = [];
  for (const batch of batches) {
    const result = await settlement.settle(1, [batch], optionsAt(settleTime));
    settledThrough.push(throughOf(result));
  }
  t.strictSame(settledThrough, [0, 1, 3]);
  t.strictSame(await costsByPartner(table), { ida: 0n, jan: 3_000_000n });
});

t.test("usage is divided by the version in force when it arose", async (t) => {
  const table = await tableWith([
    { at: 0, share: 1_000_000 },
    { at: 10_000, share: 0 },
    { at: 20_000, share: 500_000 },
  ]);
  const records = [9_000, 10_000, 19_000, 20_000].map((offset, index) =>
    usageAt(start + offset, 10 ** index)
  );
  const batch = batchOf("00000001", 1, records);
  await settlementOn(table).settle(1, [batch], optionsAt(settleTime));
  t.strictSame(await costsByPartner(table), {
    ida: 501_000_000n,
    jan: 610_000_000n,
  });
});

t.test("usage newer than the known versions is not settled yet", async (t) => {
  const table = await tableWith([{ at: 0, share: 0 }]);
  const settlement = settlementOn(table);
  const batch = batchOf("00000001", 1, [usageAt(start, 1)]);
  const soon = start + settlementDelayMs;
  const early = await settlement.settle(1, [batch], optionsAt(soon));
  t.equal(throughOf(early), 0);
  const later = await settlement.settle(1, [batch], optionsAt(soon + 1_000));
  t.equal(throughOf(later), 1);
});

t.test("usage of an unknown class is unassigned and counted", async (t) => {
  const table = await tableWith([{ at: 0, share: 0 }]);
  const batch = batchOf("00000001", 1, [
    { ...usageAt(start, 3), workClass: "nobody" },
    usageAt(start, 2),
  ]);
  const result = await settlementOn(table).settle(
    1,
    [batch],
    optionsAt(settleTime),
  );
  t.equal(result.unassigned, 3);
  t.strictSame(await costsByPartner(table), {
    ida: 0n,
    jan: 2_000_000n,
    unassigned: 3_000_000n,
  });
});

t.test("a lower fence than the row's is refused", async (t) => {
  const table = await tableWith([{ at: 0, share: 0 }]);
  const settlement = settlementOn(table);
  const [first, second] = [1, 2].map((sequence) =>
    batchOf("00000001", sequence, [usageAt(start, 1)])
  ) as [Batch, Batch];
  await settlement.settle(1, [first], { now: settleTime, fence: 5 });
  const stale = { now: settleTime, fence: 4 };
  await t.rejects(settlement.settle(1, [second], stale), /newer fence 5/);
  t.strictSame(await costsByPartner(table), { ida: 0n, jan: 1_000_000n });
});

t.test("a batch is refused once its epoch's progress is removed", async (t) => {
  const table = await tableWith([{ at: 0, share: 0 }]);
  const settlement = settlementOn(table);
  const copy = batchOf("00000001", 1, [usageAt(start, 1)]);
  await settlement.settle(1, [copy], optionsAt(settleTime));
  const afterwards = settleTime + progressRetentionMs + dayMs;
  const other = batchOf("00000011", 1, [usageAt(afterwards - dayMs, 1)]);
  await settlement.settle(1, [other], optionsAt(afterwards));
  const [row] = await table.read(["ledger/shard/01"]);
  const { epochs } = row?.value as { epochs: object };
  t.strictSame(Object.keys(epochs), ["00000011"]);
  const result = await settlement.settle(1, [copy], optionsAt(afterwards + 1));
  t.strictSame(result.expired, [copy]);
  t.strictSame(await costsByPartner(table), { ida: 0n, jan: 2_000_000n });
});

t.test("a report contains only the days of its period", async (t) => {
  const table = await tableWith([{ at: 0, share: 0 }]);
  const records = [0, dayMs, 2 * dayMs].map((offset) =>
    usageAt(start + offset, 1)
  );
  const batch = batchOf("00000001", 1, records);
  await settlementOn(table).settle(1, [batch], optionsAt(start + 3 * dayMs));
  const period = { from: "2026-12-04", to: "2026-12-05" };
  const lines = await readCosts(table, period);
  t.strictSame(
    lines.filter(({ microUnits }) => microUnits > 0n).map((line) => line.day),
    ["2026-12-04", "2026-12-05"],
  );
});

t.test("any deliveries, faults and changes give exact totals", async (t) => {
  const delivery = fc.record({
    picks: fc.array(fc.nat(), { minLength: 1, maxLength: 5 }),
    steward: fc.nat(1),
    fault: fc.constantFrom<Fault>("none", "none", "refused", "lost"),
  });
  const scenario = fc.record({
    changes: fc.array(
      fc.record({
        at: fc.nat(20).map((seconds) => seconds * 1_000),
        share: fc.nat(1_000_000),
      }),
      { minLength: 1, maxLength: 6 },
    ),
    batches: fc.array(
      fc.array(
        fc.record({
          at: fc.nat(50).map((seconds) => start + seconds * 1_000),
          amount: fc.nat({ max: 1_000_000 }),
        }),
        { maxLength: 4 },
      ),
      { minLength: 1, maxLength: 8 },
    ),
    deliveries: fc.array(delivery, { maxLength: 20 }),
  });
  const property = fc.asyncProperty(scenario, async (scenario) => {
    const changes = [...scenario.changes].sort((a, b) => a.at - b.at);
    const table = new FaultyTable();
    const versions = await acceptAll(table, changes);
    const batches = scenario.batches.map((records, index) =>
      batchOf(
        `0000000${index % 2}`,
        1 + Math.floor(index / 2),
        records.map(({ at, amount }) => usageAt(at, amount)),
      )
    );
    const stewards = [settlementOn(table), settlementOn(table)];
    for (const { picks, steward, fault } of scenario.deliveries) {
      const delivered = picks.flatMap((pick) =>
        batches[pick % batches.length] ?? []
      );
      table.fault = fault;
      await stewards[steward]?.settle(0, delivered, optionsAt(settleTime))
        .catch(() => 0);
    }
    table.fault = "none";
    await stewards[0]?.settle(0, batches, optionsAt(settleTime));
    const expected = expectedOf(batches, versions);
    const found = await costsByPartner(table);
    return (found["ida"] ?? 0n) === expected.ida &&
      (found["jan"] ?? 0n) === expected.jan &&
      (found["unassigned"] ?? 0n) === expected.unassigned;
  });
  await fc.assert(property, { seed: 4, numRuns: 300 });
  t.pass("300 histories");
});

type Fault = "none" | "refused" | "lost";

/** A table whose commits can fail before or after they take effect. */
class FaultyTable extends MemoryTable {
  fault: Fault = "none";

  override async commit(
    writes: Parameters<MemoryTable["commit"]>[0],
  ): ReturnType<MemoryTable["commit"]> {
    if (this.fault === "refused") {
      throw new KnownError("Refused", { kind: "store_unavailable" });
    }
    const result = await super.commit(writes);
    if (this.fault === "lost") {
      throw new KnownError("Lost", {
        kind: "store_unavailable",
        notRun: "unknown",
      });
    }
    return result;
  }
}

interface SplitChange {
  /** Milliseconds after the start. */
  readonly at: number;
  /** Part of the first partner, in millionths. */
  readonly share: number;
}

async function tableWith(
  changes: readonly SplitChange[],
): Promise<MemoryTable> {
  const table = new MemoryTable();
  await acceptAll(table, changes);
  return table;
}

async function acceptAll(
  table: Table,
  changes: readonly SplitChange[],
): Promise<readonly Configuration[]> {
  const store = new ConfigurationStore(table);
  const versions: Configuration[] = [];
  for (const [index, { at, share }] of changes.entries()) {
    const version = await store.accept({
      ifVersion: index,
      author: "test",
      statement: statementOf(share),
      acceptedAt: start + at,
      effectiveAt: start + at,
    });
    versions.push(version);
  }
  return versions;
}

function statementOf(share: number): Statement {
  const targets = {
    firstTokenMs: 1_000,
    betweenTokensMs: 55,
    stallMs: 1_000,
    preemptionsPerThousand: 10,
    completionMs: 60_000,
    percent: 95,
  };
  return {
    partners: { ida: { title: "" }, jan: { title: "" } },
    splits: { both: { parts: { ida: share, jan: 1_000_000 - share } } },
    classes: { tag: { title: "", targets, split: "both", delivery: "whole" } },
  };
}

function settlementOn(table: Table): Settlement {
  const history = new VersionHistory(new ConfigurationStore(table));
  return new Settlement(table, history);
}

function optionsAt(now: number): { now: number; fence: number } {
  return { now, fence: 0 };
}

function usageAt(at: number, amount: number): Usage {
  return { workClass: "tag", workspace: "clinic", unit: "output", amount, at };
}

function batchOf(
  epoch: string,
  sequence: number,
  records: readonly Usage[],
): Batch {
  return { epoch, sequence, records };
}

function throughOf({ progress }: SettlementResult): number {
  return progress.get("00000001")?.through ?? 0;
}

async function costsByPartner(table: Table): Promise<Record<string, bigint>> {
  const sums: Record<string, bigint> = {};
  for (const { partner, microUnits } of await readCosts(table)) {
    sums[partner] = (sums[partner] ?? 0n) + microUnits;
  }
  return sums;
}

function expectedOf(
  batches: readonly Batch[],
  versions: readonly Configuration[],
): { ida: bigint; jan: bigint; unassigned: bigint } {
  const expected = { ida: 0n, jan: 0n, unassigned: 0n };
  for (const { at, amount } of batches.flatMap(({ records }) => records)) {
    const version = versions.findLast((candidate) =>
      candidate.effectiveAt <= at
    ) ??
      emptyConfiguration;
    const parts = version.statement.splits["both"]?.parts;
    if (parts === undefined) {
      expected.unassigned += BigInt(amount) * 1_000_000n;
    } else {
      expected.ida += BigInt(amount) * BigInt(parts["ida"] ?? 0);
      expected.jan += BigInt(amount) * BigInt(parts["jan"] ?? 0);
    }
  }
  return expected;
}
