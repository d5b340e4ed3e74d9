import { toUsageMessage } from "@lavenderferry/ledger";
import type { PeerClients } from "@lavenderferry/protocol";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import type { UsageEffect } from "./usage_effect.ts";

/** Creates the handlers of the calls to stewards that settle or hold usage. */
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
    hold_usage: (effect, dispatch) => {
      const { steward, address, epoch, batches, settled } = effect;
      const request = {
        epoch,
        settled,
        batches: batches.map(toUsageMessage),
        generations: effect.generations.map((generation) => ({
          ...generation,
        })),
      };
      peers.at(address).hold(request).then(
        ({ held = 0 }) =>
          dispatch({ kind: "usage_held", steward, held: Number(held) }),
        () => dispatch({ kind: "usage_not_held", steward }),
      );
    },
    query_charged_index: ({ generationId, addresses }, dispatch) => {
      void queryChargedIndex(peers, generationId, addresses).then(
        (chargedIndex) => {
          if (chargedIndex !== null) {
            dispatch({
              kind: "charged_index_received",
              generationId,
              chargedIndex,
            });
          }
        },
      );
    },
  };
}

/** Returns the highest charged index of the answers; `null`: none has one. */
async function queryChargedIndex(
  peers: PeerClients,
  generation: string,
  addresses: readonly string[],
): Promise<number | null> {
  const replies = await Promise.allSettled(
    addresses.map((address) => peers.at(address).takeOver({ generation })),
  );
  const indexes = replies.flatMap((reply) =>
    reply.status === "fulfilled" && reply.value.known
      ? [Number(reply.value.charged)]
      : []
  );
  return indexes.length === 0 ? null : Math.max(...indexes);
}
