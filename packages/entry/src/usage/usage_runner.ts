import { toUsageMessage } from "@lavenderferry/ledger";
import type { PeerClients } from "@lavenderferry/protocol";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import type { UsageEffect } from "./usage_effect.ts";

/** Creates the handlers of the settlement of usage. */
export function createUsageHandlers(
  peers: PeerClients,
): EffectHandlers<EntryEvent, UsageEffect> {
  return {
    settle_usage: ({ steward, address, batches }, dispatch) => {
      peers.at(address).settle({ batches: batches.map(toUsageMessage) }).then(
        ({ settled = 0 }) =>
          dispatch({
            kind: "usage_settled",
            steward,
            settled: Number(settled),
          }),
        () => dispatch({ kind: "usage_not_settled", steward }),
      );
    },
    hold_usage: ({ steward, address, epoch, batches, settled }, dispatch) => {
      const request = { epoch, settled, batches: batches.map(toUsageMessage) };
      peers.at(address).hold(request).then(
        ({ held = 0 }) =>
          dispatch({ kind: "usage_held", steward, held: Number(held) }),
        () => dispatch({ kind: "usage_not_held", steward }),
      );
    },
  };
}
