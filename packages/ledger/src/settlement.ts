import type { Configuration } from "@lavenderferry/configuration";
import { unassignedPartner } from "@lavenderferry/configuration";
import type { Failure } from "@lavenderferry/errors";
import { KnownError } from "@lavenderferry/errors";
import type { Json, Row, Table, Write } from "@lavenderferry/platform";
import type { Debt } from "./divide.ts";
import { divide } from "./divide.ts";
import type { Progress } from "./progress.ts";
import {
  addSettled,
  isSettled,
  maxBatchesBeyondGap,
  noProgress,
} from "./progress.ts";
import { RowCache } from "./row_cache.ts";
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

/** Time for which an epoch's progress is kept after its last batch. */
export const progressRetentionMs = 3 * 24 * 3_600_000;

/**
 * Delay before usage is settled, so that a configuration version whose commit
 * was slow is known when the usage from its start on is divided.
 */
export const settlementDelayMs = 5_000;

const maxAttempts = 5;

/** The time and the fence under which a shard is settled. */
export interface SettlementOptions {
  /** Milliseconds since the Unix epoch. */
  readonly now: number;
  /** Fence of the shard's lease; 0 when no lease is held. */
  readonly fence: number;
}

/** The result of settling batches. */
export interface SettlementResult {
  /** Progress by epoch, for the epochs of the batches. */
  readonly progress: ReadonlyMap<string, Progress>;
  /** Batches refused because their epoch's progress may have been removed. */
  readonly expired: readonly Batch[];
  /** Units whose work class was not configured when they arose. */
  readonly unassigned: number;
}

type SummedUsage = { -readonly [Key in keyof Usage]: Usage[Key] };

interface UsageContext {
  readonly version: Configuration;
  /** Millionths of a unit to add to the day's row, by name. */
  readonly sums: Map<string, bigint>;
}

interface SettlementPlan {
  readonly shard: Shard;
  /** Millionths of a unit to add, by row key and by `partner|class|unit`. */
  readonly sums: Map<string, Map<string, bigint>>;
  /** Usage to divide, summed by time, class and unit. */
  readonly usage: Map<string, SummedUsage>;
  /** Shared by all usage of one time, which is the key. */
  readonly contextByTime: Map<number, UsageContext>;
  readonly expired: Batch[];
  unassigned: number;
  changed: boolean;
}

/** Divides batches of usage between partners, each batch exactly once. */
export class Settlement {
  readonly #rows: RowCache;
  readonly #history: SplitHistory;

  constructor(table: Table, history: SplitHistory) {
    this.#rows = new RowCache(table);
    this.#history = history;
  }

  /**
   * Settles batches of one shard in one commit. After a lost answer, call it
   * again with the same batches: the shard's progress shows which are settled.
   * Batches newer than the known configuration history are left unsettled.
   */
  async settle(
    shard: number,
    batches: readonly Batch[],
    options: SettlementOptions,
  ): Promise<SettlementResult> {
    const oldest = oldestUsageAt(batches, options.now);
    const coveredUntil = await this.#history.loadVersions(oldest, options.now);
    const covered = batches.filter((batch) =>
      batch.records.every(({ at }) =>
        at + usageIntervalMs + settlementDelayMs <= coveredUntil
      )
    );
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const result = await this.#attemptSettlement(shard, covered, options);
      if (result !== null) {
        return result;
      }
    }
    throw shardConflict(shard);
  }

  async #attemptSettlement(
    shard: number,
    batches: readonly Batch[],
    options: SettlementOptions,
  ): Promise<SettlementResult | null> {
    const days = daysOf(batches);
    const keys = [shardKey(shard), ...days.map((day) => dayKey(day, shard))];
    const rows = await this.#rows.read(keys);
    const plan = createPlan(rows[0] ?? null, shard, options);
    for (const batch of batches) {
      settleBatch(plan, batch, options.now);
    }
    if (plan.changed) {
      for (const usage of plan.usage.values()) {
        this.#addUsage(plan, usage, shard);
      }
      prune(plan.shard, batches, options.now);
      const writes = createWrites(plan, keys, rows);
      if (await this.#rows.commit(writes) === "conflict") {
        return null;
      }
    }
    return createResult(plan, batches);
  }

  #addUsage(plan: SettlementPlan, usage: Usage, shard: number): void {
    const { workClass, unit, amount, at } = usage;
    const context = plan.contextByTime.get(at) ??
      this.#contextOf(plan, at, shard);
    plan.contextByTime.set(at, context);
    const { version, sums } = context;
    const debts = debtsOf(version, usage);
    if (debts === null) {
      plan.unassigned += amount;
    }
    for (const { partner, microUnits } of debts ?? unassignedDebts(amount)) {
      const name = `${partner}|${workClass}|${unit}`;
      sums.set(name, (sums.get(name) ?? 0n) + microUnits);
    }
  }

  #contextOf(plan: SettlementPlan, at: number, shard: number): UsageContext {
    const key = dayKey(dayOf(at), shard);
    const sums = plan.sums.get(key) ?? new Map<string, bigint>();
    plan.sums.set(key, sums);
    return { version: this.#history.at(at), sums };
  }
}

function settleBatch(plan: SettlementPlan, batch: Batch, now: number): void {
  const { epoch, sequence, records } = batch;
  const known = plan.shard.epochs[epoch];
  if (known === undefined && mayHaveBeenPruned(plan.shard, batch)) {
    plan.expired.push(batch);
    return;
  }
  const progress = known ?? noProgress;
  const atCapacity = progress.beyond.length >= maxBatchesBeyondGap &&
    sequence !== progress.through + 1;
  if (isSettled(progress, sequence) || atCapacity) {
    return;
  }
  plan.changed = true;
  plan.shard.epochs[epoch] = {
    ...addSettled(progress, sequence),
    settledAt: now,
    expiresAt: now + progressRetentionMs,
  } as Shard["epochs"][string];
  for (const usage of records) {
    sumUsage(plan, usage);
  }
}

function sumUsage({ usage }: SettlementPlan, record: Usage): void {
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

function unassignedDebts(amount: number): readonly Debt[] {
  return divide(amount, { parts: { [unassignedPartner]: 1_000_000 } });
}

function createPlan(
  row: Row | null,
  shardNumber: number,
  { fence }: SettlementOptions,
): SettlementPlan {
  const shard = row === null
    ? { fence: 0, prunedUntil: 0, epochs: {} }
    : shardSchema.parse(row.value);
  if (fence < shard.fence) {
    throw new KnownError(
      `Shard ${shardNumber} was settled under the newer fence ${shard.fence}`,
      { kind: "lease_lost" },
    );
  }
  shard.fence = fence;
  return {
    shard,
    sums: new Map(),
    usage: new Map(),
    contextByTime: new Map(),
    expired: [],
    unassigned: 0,
    changed: false,
  };
}

/**
 * Returns whether an epoch without progress may have had some that was removed,
 * in which case the batch may already be settled.
 */
function mayHaveBeenPruned(shard: Shard, { records }: Batch): boolean {
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

function createWrites(
  plan: SettlementPlan,
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

function createResult(
  plan: SettlementPlan,
  batches: readonly Batch[],
): SettlementResult {
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

function oldestUsageAt(batches: readonly Batch[], now: number): number {
  let oldest = now;
  for (const { records } of batches) {
    for (const { at } of records) {
      oldest = Math.min(oldest, at);
    }
  }
  return oldest;
}

function shardConflict(shard: number): Failure {
  return new KnownError(
    `Settlement of shard ${shard} conflicted in every attempt`,
    { kind: "conflict" },
  );
}
