import type { EventHandlers } from "@lavenderferry/runtime";
import type { StewardEffect } from "../effects.ts";
import type { StewardState } from "../state.ts";
import type { SettlementEvent } from "./settlement_event.ts";

const shards = 16;

/** Settles batches of usage for the entries. */
export const settlementPart: EventHandlers<
  StewardState,
  SettlementEvent,
  StewardEffect
> = {
  settle_requested: (_state, { replyId, batches }) => [
    {
      kind: "settle_batches",
      replyId,
      shard: shardOf(batches[0]?.epoch ?? ""),
      batches,
    },
  ],
  batches_settled: (_state, { replyId, settled }) => [
    { kind: "answer_settlement", replyId, settled },
  ],
  batches_failed: (_state, { replyId, failure }) => [
    { kind: "refuse_settlement", replyId, failure },
  ],
};

function shardOf(epoch: string): number {
  return (Number.parseInt(epoch.slice(-4), 16) || 0) % shards;
}
