import { fromUsageMessage } from "@lavenderferry/ledger";
import type { PeerMethods } from "@lavenderferry/protocol";
import type { Clock, Dispatch } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import type { StewardState } from "../state.ts";

/** Dependencies of the peer methods for usage. */
export interface UsageMethodsOptions {
  readonly state: StewardState;
  readonly clock: Clock;
  readonly dispatch: Dispatch<StewardEvent>;
}

/**
 * Creates the peer methods for usage. `settle` and `hold` only enqueue batches;
 * their replies carry the highest sequence that is settled or held so far.
 */
export function createUsageMethods(
  { state, clock, dispatch }: UsageMethodsOptions,
): Pick<PeerMethods, "settle" | "hold" | "takeOver"> {
  const { settledThrough, held } = state.settlement;
  return {
    settle: (request) => {
      const batches = request.batches.map(fromUsageMessage);
      dispatch({ kind: "settle_requested", batches });
      const settled = settledThrough.get(batches[0]?.epoch ?? "") ?? 0;
      return Promise.resolve({ settled });
    },
    hold: (request) => {
      const { epoch, settled } = request;
      const batches = request.batches.map(fromUsageMessage);
      const generations = request.generations.map(
        ({ generation, upstream, workClass, workspace, charged }) => ({
          generation,
          upstream,
          workClass,
          workspace,
          charged,
        }),
      );
      const handover = { epoch, settled, batches, generations };
      dispatch({ kind: "hold_requested", handover });
      return Promise.resolve({ held: held.heldThrough(epoch, settled) });
    },
    takeOver: ({ generation }) => {
      const orphan = held.findOrphan(generation, clock.now().monotonic);
      return Promise.resolve({
        known: orphan !== null,
        charged: orphan?.charged ?? 0,
      });
    },
  };
}
