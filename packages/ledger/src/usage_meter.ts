import type { Batch, Usage, UsageUnit } from "./usage.ts";

/**
 * Interval of one usage record; configuration versions take effect between
 * intervals.
 */
export const usageIntervalMs = 1_000;

/** Most batches that await settlement; later usage stays in open records. */
export const maxUnsettledBatches = 64;

/** Most records in a batch before they are merged over workspaces. */
export const maxDetailedRecords = 256;

const dayMs = 24 * 3_600_000;
const minMergeAgeMs = 60_000;

type OpenRecord = { -readonly [Key in keyof Usage]: Usage[Key] };

/** The class and the workspace whose work caused usage. */
export interface Cause {
  readonly workClass: string;
  readonly workspace: string;
}

/** The time and the configuration history when a batch is closed. */
export interface CloseContext {
  /** Milliseconds since the Unix epoch. */
  readonly now: number;
  /** Returns the configuration version in force at a wall-clock time. */
  readonly versionAt: (wallMs: number) => number;
}

/**
 * Sums usage by interval and keeps batches until they are settled.
 * Memory is bounded: when too many batches await settlement, usage stays in
 * open records. These are merged, first over workspaces and then over the
 * intervals of one configuration version and day. No unit is dropped.
 */
export class UsageMeter {
  readonly #epoch: string;
  #open = new Map<string, OpenRecord>();
  #unsettled: Batch[] = [];
  #sequence = 0;
  #settledThrough = 0;
  #closedAt = 0;

  constructor(epoch: string) {
    this.#epoch = epoch;
  }

  /** Whether all usage so far is settled. */
  get settled(): boolean {
    return this.#open.size === 0 && this.#unsettled.length === 0;
  }

  /** Highest sequence up to which all batches are settled. */
  get settledThrough(): number {
    return this.#settledThrough;
  }

  /** Number of records that are not yet in a batch. */
  get openRecordCount(): number {
    return this.#open.size;
  }

  /** Returns up to `limit` unsettled batches after a sequence, oldest first. */
  unsettled(after: number, limit: number): readonly Batch[] {
    const batches = this.#unsettled.filter(({ sequence }) => sequence > after);
    return batches.slice(0, limit);
  }

  /** Adds units that arose at a wall-clock time. */
  add(
    cause: Cause,
    unit: UsageUnit,
    measurement: { amount: number; wall: number },
  ): void {
    if (measurement.amount <= 0) {
      return;
    }
    const at = Math.floor(measurement.wall / usageIntervalMs) * usageIntervalMs;
    const { workClass, workspace } = cause;
    const { amount } = measurement;
    addRecord(this.#open, { workClass, workspace, unit, amount, at });
  }

  /**
   * Moves the open records to a new batch, or merges them if too many batches
   * are unsettled.
   */
  close({ now, versionAt }: CloseContext): void {
    if (this.#unsettled.length >= maxUnsettledBatches) {
      this.#mergeOpenRecords({ now, versionAt });
      return;
    }
    if (this.#open.size === 0 && !this.#needsIdleBatch(now)) {
      return;
    }
    if (this.#open.size > maxDetailedRecords) {
      this.#mergeWorkspaces();
    }
    const records = [...this.#open.values()];
    this.#open.clear();
    this.#closedAt = now;
    this.#sequence += 1;
    this.#unsettled.push({
      epoch: this.#epoch,
      sequence: this.#sequence,
      records,
    });
  }

  /** Removes the batches up to a sequence, which are settled. */
  settle(through: number): void {
    this.#settledThrough = Math.max(this.#settledThrough, through);
    this.#unsettled = this.#unsettled.filter(({ sequence }) =>
      sequence > through
    );
  }

  /**
   * Returns whether an idle epoch needs an empty batch. One a day keeps the
   * epoch's progress from being removed.
   */
  #needsIdleBatch(now: number): boolean {
    return this.#sequence > 0 && now - this.#closedAt > dayMs;
  }

  #mergeWorkspaces(): void {
    this.#mergeRecords((record) => ({ ...record, workspace: "" }));
  }

  #mergeOpenRecords({ now, versionAt }: CloseContext): void {
    if (this.#open.size <= maxDetailedRecords) {
      return;
    }
    this.#mergeWorkspaces();
    const starts = new Map<string, number>();
    this.#mergeRecords((record) => {
      if (record.at > now - minMergeAgeMs) {
        return record;
      }
      const day = Math.floor(record.at / dayMs);
      const interval = `${day}|${versionAt(record.at)}`;
      const start = starts.get(interval) ?? record.at;
      starts.set(interval, start);
      return { ...record, at: start };
    });
  }

  #mergeRecords(merge: (record: OpenRecord) => OpenRecord): void {
    const open = new Map<string, OpenRecord>();
    for (const record of this.#open.values()) {
      addRecord(open, merge(record));
    }
    this.#open = open;
  }
}

function addRecord(open: Map<string, OpenRecord>, record: OpenRecord): void {
  const { at, unit, workClass, workspace, amount } = record;
  const key = `${at}|${unit}|${workClass}|${workspace}`;
  const known = open.get(key);
  if (known === undefined) {
    open.set(key, { ...record });
  } else {
    known.amount += amount;
  }
}
