import { toFailure } from "@lavenderferry/errors";
import type { Table } from "@lavenderferry/platform";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { StewardEvent } from "../events.ts";
import type { DutyEffect } from "./duty_effect.ts";

/** Creates the handlers of operations on the rows of leases. */
export function createDutyHandlers(
  table: Table,
): EffectHandlers<StewardEvent, DutyEffect> {
  return {
    read_lease: ({ duty, key }, dispatch) => {
      table.read([key], "leases").then(
        ([row = null]) => {
          const { era } = table;
          dispatch({ kind: "lease_read", duty, row, era });
        },
        createFailureHandler(duty, dispatch),
      );
    },
    write_lease: ({ duty, write }, dispatch) => {
      table.commit([write], "leases").then(
        (result) => {
          const { era } = table;
          dispatch({ kind: "lease_written", duty, result, era });
        },
        createFailureHandler(duty, dispatch),
      );
    },
  };
}

function createFailureHandler(
  duty: string,
  dispatch: Dispatch<StewardEvent>,
): (error: unknown) => void {
  return function handleFailure(error) {
    const notRun = toFailure(error).notRun === true;
    dispatch({ kind: "lease_failed", duty, notRun });
  };
}
