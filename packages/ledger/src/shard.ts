import { z } from "zod";
import { progressSchema } from "./progress.ts";

/** Number of shards, each with its own row of settlement progress. */
export const shardCount = 16;

/** Schema of the row with the settlement progress of one shard. */
export const shardSchema = z.object({
  /** Highest fence with which the row was written; 0 without a lease. */
  fence: z.int(),
  /**
   * Milliseconds since the Unix epoch of the newest settlement among epochs
   * whose progress was removed.
   */
  prunedUntil: z.number(),
  /** Progress by epoch. */
  epochs: z.record(z.string(), progressSchema),
});

/** The settlement progress of one shard. */
export type Shard = z.output<typeof shardSchema>;

/** Schema of the row with one day's totals of one shard. */
export const dayTotalsSchema = z.object({
  /** Millionths of a unit by `partner|class|unit`. */
  totals: z.record(z.string(), z.string()),
});

/** Prefix of the keys of totals; the day and the shard follow. */
export const dayPrefix = "ledger/day/";

/** Returns the shard that settles the batches of an epoch. */
export function shardOf(epoch: string): number {
  return (Number.parseInt(epoch.slice(-4), 16) || 0) % shardCount;
}

/** Returns the key of a shard's progress row. */
export function shardKey(shard: number): string {
  return `ledger/shard/${padShard(shard)}`;
}

/** Returns the key of the row with one day's totals of a shard. */
export function dayKey(day: string, shard: number): string {
  return `${dayPrefix}${day}/${padShard(shard)}`;
}

/** Returns the day in UTC of a wall-clock time, as `YYYY-MM-DD`. */
export function dayOf(wallMs: number): string {
  return new Date(wallMs).toISOString().slice(0, 10);
}

function padShard(shard: number): string {
  return String(shard).padStart(2, "0");
}

/** Returns the name of the duty under which a shard is settled. */
export function settlementDuty(shard: number): string {
  return `settlement/${shard}`;
}
