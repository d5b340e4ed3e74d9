import type { UsageBatch, UsageBatch__Output } from "@lavenderferry/protocol";
import type { Batch, UsageUnit } from "./usage.ts";

/** Returns the message that carries a batch between processes. */
export function toUsageMessage(
  { epoch, sequence, records }: Batch,
): UsageBatch {
  return { epoch, sequence, records: records.map((record) => ({ ...record })) };
}

/** Returns the batch that a message carries. */
export function fromUsageMessage(
  { epoch, sequence, records }: UsageBatch__Output,
): Batch {
  return {
    epoch,
    sequence,
    records: records.map((record) => ({
      ...record,
      unit: record.unit as UsageUnit,
    })),
  };
}
