import { KnownError } from "@lavenderferry/errors";
import type { ExchangeRunner } from "@lavenderferry/fleet";
import type { PeerMethods } from "@lavenderferry/protocol";
import { toExplainReply } from "@lavenderferry/protocol";
import type { Dispatch } from "@lavenderferry/runtime";
import type { EntryEvent } from "../events.ts";
import type { EntryState } from "../state.ts";

/** Dependencies of the peer methods. */
export interface PeerMethodsOptions {
  readonly state: EntryState;
  readonly exchanges: ExchangeRunner;
  readonly dispatch: Dispatch<EntryEvent>;
}

/** Creates the peer methods that an entry serves. */
export function createPeerMethods(
  { state, exchanges, dispatch }: PeerMethodsOptions,
): PeerMethods {
  return {
    exchange: (message) => exchanges.receive(message, dispatch),
    settle: () =>
      Promise.reject(
        new KnownError("An entry does not settle usage", {
          kind: "bad_request",
        }),
      ),
    hold: () =>
      Promise.reject(
        new KnownError("An entry does not hold usage of peers", {
          kind: "bad_request",
        }),
      ),
    takeOver: ({ generation: generationId, by }) => {
      const generation = state.generations.get(generationId);
      if (generation === undefined) {
        const charged = state.usageHandover.chargedIndexes.get(generationId);
        const known = charged !== undefined;
        return Promise.resolve({ known, charged: charged ?? 0 });
      }
      const { nextIndex, chargedIndex } = generation;
      dispatch({ kind: "generation_taken_over", generationId, by });
      const charged = Math.max(nextIndex, chargedIndex);
      return Promise.resolve({ known: true, charged });
    },
    drain: () => {
      dispatch({ kind: "stop_requested" });
      const running = state.generations.size + state.calls.size;
      return Promise.resolve({ running });
    },
    explain: ({ subject }) => {
      const decisions = state.decisions.findBySubject(subject);
      return Promise.resolve(toExplainReply(state.settings.vm, decisions));
    },
  };
}
