import type { UsageBatch, UsageBatch__Output } from "@lavenderferry/protocol";
import type { Batch, UsageUnit } from "./usage.ts";

/** Encodes a batch as a message between processes. */
export function toUsageMessage(
  { epoch, sequence, records }: Batch,
): UsageBatch {
  return { epoch, sequence, records: records.map((record) => ({ ...record })) };
}

/** Decodes the batch of a message. */
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
