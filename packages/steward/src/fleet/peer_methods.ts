import type { ExchangeRunner } from "@lavenderferry/fleet";
import type { PeerMethods } from "@lavenderferry/protocol";
import { toExplainReply } from "@lavenderferry/protocol";
import type { Dispatch } from "@lavenderferry/runtime";
import { systemClock } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import { createUsageMethods } from "../settlement/usage_methods.ts";
import type { StewardState } from "../state.ts";

/** Dependencies of the peer methods. */
export interface PeerMethodsOptions {
  readonly state: StewardState;
  readonly exchanges: ExchangeRunner;
  readonly dispatch: Dispatch<StewardEvent>;
}

/** Creates the methods that peers call on a steward. */
export function createPeerMethods(
  { state, exchanges, dispatch }: PeerMethodsOptions,
): PeerMethods {
  return {
    exchange: (message) => exchanges.receive(message, dispatch),
    ...createUsageMethods({ state, clock: systemClock, dispatch }),
    drain: () => {
      dispatch({ kind: "stop_requested" });
      return Promise.resolve({ running: 0 });
    },
    explain: ({ subject }) => {
      const decisions = state.decisions.findBySubject(subject);
      return Promise.resolve(toExplainReply(state.settings.vm, decisions));
    },
  };
}
