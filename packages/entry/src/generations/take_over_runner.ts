import type { PeerClients } from "@lavenderferry/protocol";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import type { TakeOverEffect } from "./generation_effect.ts";

/**
 * Creates the handler that notifies the previous entry of a stream. `by` is the
 * name of this entry's VM.
 */
export function createTakeOverHandlers(
  peers: PeerClients,
  by: string,
): EffectHandlers<EntryEvent, TakeOverEffect> {
  return {
    take_over: ({ address, generationId }, dispatch) => {
      const reportAnswer = (chargedIndex: number | null) =>
        dispatch({ kind: "take_over_answered", generationId, chargedIndex });
      peers.at(address).takeOver({ generation: generationId, by }).then(
        ({ known, charged }) => reportAnswer(known ? charged : null),
        () => reportAnswer(null),
      );
    },
  };
}
