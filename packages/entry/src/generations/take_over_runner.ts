import type { PeerClients } from "@lavenderferry/protocol";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import type { TakeOverEffect } from "./generation_effect.ts";

/** Creates the handler that tells the former carrier of a stream. */
export function createTakeOverHandlers(
  peers: PeerClients,
  by: string,
): EffectHandlers<EntryEvent, TakeOverEffect> {
  return {
    take_over: ({ address, generationId }, dispatch) => {
      const answered = (charged: number | null) =>
        dispatch({ kind: "take_over_answered", generationId, charged });
      peers.at(address).takeOver({ generation: generationId, by }).then(
        ({ known, charged }) => answered(known ? charged : null),
        () => answered(null),
      );
    },
  };
}
