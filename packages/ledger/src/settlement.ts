import type { Configuration } from "@lavenderferry/configuration";
import { unassignedPartner } from "@lavenderferry/configuration";
import type { Failure } from "@lavenderferry/errors";
import { KnownError } from "@lavenderferry/errors";
import type { Json, Row, Table, Write } from "@lavenderferry/platform";
import type { Debt } from "./divide.ts";
import { divide } from "./divide.ts";
import type { Progress } from "./progress.ts";
import { addSettled, isSettled, maxBeyond, noProgress } from "./progress.ts";
import type { Shard } from "./shard.ts";
import {
  dayKey,
  dayOf,
  dayTotalsSchema,
  shardKey,
  shardSchema,
} from "./shard.ts";
import type { SplitHistory } from "./split_history.ts";
import type { Batch, Usage } from "./usage.ts";
import { usageIntervalMs } from "./usage_meter.ts";

/** Milliseconds for which the progress of an epoch outlives its last batch. */
export const keepProgressMs = 3 * 24 * 3_600_000;

/**
 * Milliseconds that usage waits before it is settled, so that a version whose
 * commit took long is known when the usage of its first instants is divided.
 */
export const settlementLagMs = 5_000;

const maxTries = 5;

/** Under which conditions a shard is settled. */
export interface SettlementTerms {
  /** Wall time in milliseconds. */
  readonly now: number;
  /** Fence of the shard's lease; 0 when no lease is held. */
  readonly fence: number;
}

/** What became of the batches of one settlement. */
export interface SettlementResult {
  /** Progress of the epochs that had batches. */
  readonly progress: ReadonlyMap<string, Progress>;
  /** Batches that were refused: their epoch's progress may be removed. */
  readonly expired: readonly Batch[];
  /** Units whose class was unknown when they arose. */
  readonly unassigned: number;
}

type SummedUsage = { -readonly [Key in keyof Usage]: Usage[Key] };

interface Plan {
  readonly shard: Shard;
  /** Millionths of a unit to add, by row key and name. */
  readonly sums: Map<string, Map<string, bigint>>;
  /** Usage to divide, summed by instant, class and unit. */
  readonly usage: Map<string, SummedUsage>;
  readonly expired: Batch[];
  unassigned: number;
  changed: boolean;
}

/** Settles batches of usage, each batch exactly once. */
export class Settlement {
  readonly #table: Table;
  readonly #history: SplitHistory;

  constructor(table: Table, history: SplitHistory) {
    this.#table = table;
    this.#history = history;
  }

  /**
   * Settles batches of one shard in one commit. A lost answer needs no other
   * treatment than a further call: the shard's progress tells what is settled.
   */
  async settle(
    shard: number,
    batches: readonly Batch[],
    terms: SettlementTerms,
  ): Promise<SettlementResult> {
    const oldest = oldestAt(batches, terms.now);
    const coveredUntil = await this.#history.cover(oldest, terms.now);
    const known = batches.filter((batch) =>
      batch.records.every(({ at }) =>
        at + usageIntervalMs + settlementLagMs <= coveredUntil
      )
    );
    for (let tries = 0; tries < maxTries; tries++) {
      const result = await this.#try(shard, known, terms);
      if (result !== null) {
        return result;
      }
    }
    throw shardConflict(shard);
  }

  async #try(
    shard: number,
    batches: readonly Batch[],
    terms: SettlementTerms,
  ): Promise<SettlementResult | null> {
    const days = daysOf(batches);
    const keys = [shardKey(shard), ...days.map((day) => dayKey(day, shard))];
    const rows = await this.#table.read(keys, "cost");
    const plan = planOf(rows[0] ?? null, shard, terms);
    for (const batch of batches) {
      settleBatch(plan, batch, terms.now);
    }
    if (plan.changed) {
      for (const usage of plan.usage.values()) {
        this.#addUsage(plan, usage, shard);
      }
      prune(plan.shard, batches, terms.now);
      const writes = writesOf(plan, keys, rows);
      const result = await this.#table.commit(writes, "cost");
      if (result.kind === "conflict") {
        return null;
      }
    }
    return resultOf(plan, batches);
  }

  #addUsage(plan: Plan, usage: Usage, shard: number): void {
    const { workClass, unit, amount, at } = usage;
    const debts = debtsOf(this.#history.at(at), usage);
    if (debts === null) {
      plan.unassigned += amount;
    }
    const key = dayKey(dayOf(at), shard);
    const sums = plan.sums.get(key) ?? new Map<string, bigint>();
    plan.sums.set(key, sums);
    for (const { partner, microUnits } of debts ?? unassigned(amount)) {
      const name = `${partner}|${workClass}|${unit}`;
      sums.set(name, (sums.get(name) ?? 0n) + microUnits);
    }
  }
}

function settleBatch(plan: Plan, batch: Batch, now: number): void {
  const { epoch, sequence, records } = batch;
  const known = plan.shard.epochs[epoch];
  if (known === undefined && mayBePruned(plan.shard, batch)) {
    plan.expired.push(batch);
    return;
  }
  const progress = known ?? noProgress;
  const full = progress.beyond.length >= maxBeyond &&
    sequence !== progress.through + 1;
  if (isSettled(progress, sequence) || full) {
    return;
  }
  plan.changed = true;
  plan.shard.epochs[epoch] = {
    ...addSettled(progress, sequence),
    settledAt: now,
    expiresAt: now + keepProgressMs,
  } as Shard["epochs"][string];
  for (const usage of records) {
    sumUsage(plan, usage);
  }
}

function sumUsage({ usage }: Plan, record: Usage): void {
  const { at, workClass, unit, amount } = record;
  const key = `${at}|${workClass}|${unit}`;
  const sum = usage.get(key);
  if (sum === undefined) {
    usage.set(key, { ...record });
  } else {
    sum.amount += amount;
  }
}

function debtsOf(
  { statement }: Configuration,
  { workClass, amount }: Usage,
): readonly Debt[] | null {
  const split = statement.splits[statement.classes[workClass]?.split ?? ""];
  return split === undefined ? null : divide(amount, split);
}

function unassigned(amount: number): readonly Debt[] {
  return divide(amount, { parts: { [unassignedPartner]: 1_000_000 } });
}

function planOf(
  row: Row | null,
  number: number,
  { fence }: SettlementTerms,
): Plan {
  const shard = row === null
    ? { fence: 0, prunedUntil: 0, epochs: {} }
    : shardSchema.parse(row.value);
  if (fence < shard.fence) {
    throw new KnownError(
      `Shard ${number} was settled under the newer fence ${shard.fence}`,
      { kind: "lease_lost" },
    );
  }
  shard.fence = fence;
  const sums = new Map<string, Map<string, bigint>>();
  const usage = new Map<string, SummedUsage>();
  return { shard, sums, usage, expired: [], unassigned: 0, changed: false };
}

/** An epoch without progress may have been settled and removed since. */
function mayBePruned(shard: Shard, { records }: Batch): boolean {
  const newest = records.reduce((max, { at }) => Math.max(max, at), 0);
  return records.length > 0 && newest <= shard.prunedUntil;
}

function prune(shard: Shard, batches: readonly Batch[], now: number): void {
  const current = new Set(batches.map(({ epoch }) => epoch));
  for (
    const [epoch, { settledAt, expiresAt }] of Object.entries(shard.epochs)
  ) {
    if (expiresAt < now && !current.has(epoch)) {
      shard.prunedUntil = Math.max(shard.prunedUntil, settledAt);
      Reflect.deleteProperty(shard.epochs, epoch);
    }
  }
}

function writesOf(
  plan: Plan,
  keys: readonly string[],
  rows: readonly (Row | null)[],
): readonly Write[] {
  return keys.flatMap((key, index) => {
    const row = rows[index] ?? null;
    const ifVersion = row?.version ?? null;
    if (index === 0) {
      return [{ key, ifVersion, value: plan.shard as unknown as Json }];
    }
    const sums = plan.sums.get(key);
    return sums === undefined
      ? []
      : [{ key, ifVersion, value: addTotals(row, sums) }];
  });
}

function addTotals(row: Row | null, sums: ReadonlyMap<string, bigint>): Json {
  const before = row === null ? {} : dayTotalsSchema.parse(row.value).totals;
  const totals = { ...before };
  for (const [name, sum] of sums) {
    totals[name] = String(BigInt(totals[name] ?? "0") + sum);
  }
  return { totals };
}

function resultOf(plan: Plan, batches: readonly Batch[]): SettlementResult {
  const { shard, expired, unassigned } = plan;
  const progress = new Map<string, Progress>();
  for (const { epoch } of batches) {
    progress.set(epoch, shard.epochs[epoch] ?? noProgress);
  }
  return { progress, expired, unassigned };
}

function daysOf(batches: readonly Batch[]): readonly string[] {
  const times = new Set(
    batches.flatMap(({ records }) => records.map(({ at }) => at)),
  );
  return [...new Set([...times].map(dayOf))];
}

function oldestAt(batches: readonly Batch[], now: number): number {
  let oldest = now;
  for (const { records } of batches) {
    for (const { at } of records) {
      oldest = Math.min(oldest, at);
    }
  }
  return oldest;
}

function shardConflict(shard: number): Failure {
  return new KnownError(`Shard ${shard} keeps changing`, { kind: "conflict" });
}
