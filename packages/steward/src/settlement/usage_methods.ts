import { fromUsageMessage } from "@lavenderferry/ledger";
import type { PeerMethods } from "@lavenderferry/protocol";
import type { Dispatch } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import type { StewardState } from "../state.ts";

/**
 * Creates the answers to processes that hand usage over. A batch is only put
 * in line: the answer tells how far settlement has come.
 */
export function createUsageMethods(
  state: StewardState,
  dispatch: Dispatch<StewardEvent>,
): Pick<PeerMethods, "settle" | "hold"> {
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
      const handover = { epoch, settled, batches };
      dispatch({ kind: "hold_requested", handover });
      return Promise.resolve({ held: held.heldThrough(epoch, settled) });
    },
  };
}
