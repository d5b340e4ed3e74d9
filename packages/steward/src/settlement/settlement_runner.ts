import {
  ConfigurationStore,
  VersionHistory,
} from "@lavenderferry/configuration";
import { toFailure } from "@lavenderferry/errors";
import { Settlement, toUsageMessage } from "@lavenderferry/ledger";
import type { PlatformClient } from "@lavenderferry/platform";
import type { PeerClients } from "@lavenderferry/protocol";
import type { EffectHandlers } from "@lavenderferry/runtime";
import PQueue from "p-queue";
import type { StewardEvent } from "../events.ts";
import type { SettlementEffect } from "./settlement_effect.ts";

/** Creates the handlers of the settlement of usage. */
export function createSettlementHandlers(
  platform: PlatformClient,
  peers: PeerClients,
): EffectHandlers<StewardEvent, SettlementEffect> {
  const history = new VersionHistory(new ConfigurationStore(platform));
  const settlement = new Settlement(platform, history);
  const queue = new PQueue({ concurrency: 1 });
  return {
    forward_batches: ({ address, epoch, batches }, dispatch) => {
      peers.at(address).settle({ batches: batches.map(toUsageMessage) }).then(
        ({ settled }) =>
          dispatch({ kind: "batches_forwarded", epoch, settled }),
        () => dispatch({ kind: "batches_forwarded", epoch, settled: 0 }),
      );
    },
    settle_batches: ({ shard, batches, now, fence }, dispatch) => {
      void queue.add(async () => {
        try {
          const options = { now, fence };
          const result = await settlement.settle(shard, batches, options);
          dispatch({ kind: "batches_settled", shard, batches, result });
        } catch (error) {
          const failure = toFailure(error);
          dispatch({ kind: "batches_failed", shard, failure });
        }
      });
    },
  };
}
