import type { PeerClients } from "@lavenderferry/protocol";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import type { UsageEffect } from "./usage_effect.ts";

/** Creates the handlers of the settlement of usage. */
export function createUsageHandlers(
  peers: PeerClients,
): EffectHandlers<EntryEvent, UsageEffect> {
  return {
    settle_usage: ({ address, batch }, dispatch) => {
      const records = batch.records.map((record) => ({ ...record }));
      const { epoch, sequence } = batch;
      peers.at(address).settle({ batches: [{ epoch, sequence, records }] })
        .then(
          ({ settled = 0 }) =>
            dispatch({ kind: "usage_settled", settled: Number(settled) }),
          () => dispatch({ kind: "usage_not_settled", sequence }),
        );
    },
  };
}
