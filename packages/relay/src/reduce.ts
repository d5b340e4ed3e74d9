import type { Reducer } from "@lavenderferry/runtime";
import { createReducer } from "@lavenderferry/runtime";
import { exchangePart } from "./fleet/exchange_part.ts";
import { forwardingPart } from "./forwarding/forwarding_part.ts";
import { quarantinePart } from "./quarantine/quarantine_part.ts";
import { sourcePart } from "./fleet/source_part.ts";
import { limitPart } from "./limits/limit_part.ts";
import { lifecyclePart } from "./process/lifecycle_part.ts";
import { noticeSuspension } from "./process/suspension.ts";
import type { RelayEffect } from "./relay_effect.ts";
import type { RelayEvent } from "./relay_event.ts";
import { reportPart } from "./reports/report_part.ts";
import { requestPart } from "./requests/request_part.ts";
import type { RelayState } from "./state.ts";

const reduceEvent = createReducer<RelayState, RelayEvent, RelayEffect>({
  ...requestPart,
  ...sourcePart,
  ...quarantinePart,
  ...limitPart,
  ...reportPart,
  ...forwardingPart,
  ...exchangePart,
  ...lifecyclePart,
});

/** Reducer of the relay: updates the state and returns effects to run. */
export const reduceRelay: Reducer<RelayState, RelayEvent, RelayEffect> = (
  state,
  event,
) => {
  noticeSuspension(state, event.at);
  return reduceEvent(state, event);
};
