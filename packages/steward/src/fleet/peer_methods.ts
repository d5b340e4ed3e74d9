import { KnownError } from "@lavenderferry/errors";
import type { ExchangeRunner } from "@lavenderferry/fleet";
import type { Batch, UsageUnit } from "@lavenderferry/ledger";
import type { PeerMethods, UsageBatch__Output } from "@lavenderferry/protocol";
import type { Dispatch } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import type { Replies } from "../process/replies.ts";
import type { StewardState } from "../state.ts";

/** What the answers to peers work with. */
export interface PeerMethodsOptions {
  readonly state: StewardState;
  readonly exchanges: ExchangeRunner;
  readonly replies: Replies;
  readonly dispatch: Dispatch<StewardEvent>;
}

/** Creates the steward's answers to its peers. */
export function createPeerMethods(
  { state, exchanges, replies, dispatch }: PeerMethodsOptions,
): PeerMethods {
  return {
    exchange: (message) => exchanges.receive(message, dispatch),
    settle: (request) => {
      if (!state.configurationKnown) {
        const failure = new KnownError("The steward is not ready", {
          kind: "not_ready",
        });
        return Promise.reject(failure);
      }
      const batches = request.batches.map(toBatch);
      return replies.wait((replyId) =>
        dispatch({ kind: "settle_requested", replyId, batches })
      );
    },
    hold: () =>
      Promise.reject(
        new KnownError("A steward holds nothing yet", { kind: "bad_request" }),
      ),
    takeOver: () => Promise.resolve({ known: false }),
    drain: () => {
      dispatch({ kind: "stop_requested" });
      return Promise.resolve({ running: 0 });
    },
    explain: ({ subject }) =>
      Promise.resolve({
        decisions: state.decisions.about(subject).map((decision) => ({
          ...decision,
          figures: JSON.stringify(decision.figures),
          process: state.settings.vm,
        })),
      }),
  };
}

function toBatch({ epoch, sequence, records }: UsageBatch__Output): Batch {
  return {
    epoch,
    sequence,
    records: records.map((record) => ({
      ...record,
      unit: record.unit as UsageUnit,
    })),
  };
}
