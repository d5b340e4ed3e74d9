import type { Timeline } from "@lavenderferry/configuration";
import { toFailure } from "@lavenderferry/errors";
import { Settlement } from "@lavenderferry/ledger";
import type { PlatformClient } from "@lavenderferry/platform";
import type { EffectHandlers } from "@lavenderferry/runtime";
import PQueue from "p-queue";
import type { StewardEvent } from "../events.ts";
import type { Replies } from "../process/replies.ts";
import type { SettlementEffect } from "./settlement_effect.ts";

/** What the effects of the settlement work with. */
export interface SettlementRunnerOptions {
  readonly platform: PlatformClient;
  readonly timeline: Timeline;
  readonly replies: Replies;
}

/** Creates the handlers of the settlement of usage. */
export function createSettlementHandlers(
  { platform, timeline, replies }: SettlementRunnerOptions,
): EffectHandlers<StewardEvent, SettlementEffect> {
  const settlement = new Settlement(platform, timeline);
  const queue = new PQueue({ concurrency: 1 });
  return {
    settle_batches: ({ replyId, shard, batches }, dispatch) => {
      void queue.add(async () => {
        try {
          let settled = 0;
          for (const batch of batches) {
            settled = await settlement.settle(shard, batch);
          }
          dispatch({ kind: "batches_settled", replyId, settled });
        } catch (error) {
          const failure = toFailure(error);
          dispatch({ kind: "batches_failed", replyId, failure });
        }
      });
    },
    answer_settlement: ({ replyId, settled }) =>
      replies.resolve(replyId, { settled }),
    refuse_settlement: ({ replyId, failure }) =>
      replies.reject(replyId, failure),
  };
}
