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
    hold_usage: (effect, dispatch) => {
      const { steward, address, epoch, batches, settled } = effect;
      const request = {
        epoch,
        settled,
        batches: batches.map(toUsageMessage),
        generations: effect.generations.map((each) => ({ ...each })),
      };
      peers.at(address).hold(request).then(
        ({ held = 0 }) =>
          dispatch({ kind: "usage_held", steward, held: Number(held) }),
        () => dispatch({ kind: "usage_not_held", steward }),
      );
    },
    ask_charged: ({ generationId, addresses }, dispatch) => {
      void askCharged(peers, generationId, addresses).then((charged) => {
        if (charged !== null) {
          dispatch({ kind: "charged_learned", generationId, charged });
        }
      });
    },
  };
}

/** Returns the highest index that a steward knows; `null`: none knows. */
async function askCharged(
  peers: PeerClients,
  generation: string,
  addresses: readonly string[],
): Promise<number | null> {
  const replies = await Promise.allSettled(
    addresses.map((address) => peers.at(address).takeOver({ generation })),
  );
  const known = replies.flatMap((reply) =>
    reply.status === "fulfilled" && reply.value.known
      ? [Number(reply.value.charged)]
      : []
  );
  return known.length === 0 ? null : Math.max(...known);
}
