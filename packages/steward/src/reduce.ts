import { createReducer } from "@lavenderferry/runtime";
import type { StewardEffect } from "./effects.ts";
import type { StewardEvent } from "./events.ts";
import { dutyPart } from "./fleet/duty_part.ts";
import { fleetPart } from "./fleet/fleet_part.ts";
import { placementPart } from "./fleet/placement_part.ts";
import { operatorPart } from "./operators/operator_part.ts";
import { processPart } from "./process/process_part.ts";
import { settlementPart } from "./settlement/settlement_part.ts";
import type { StewardState } from "./state.ts";

/** Reduces one event of the steward to effects; updates the state in place. */
export const reduceSteward = createReducer<
  StewardState,
  StewardEvent,
  StewardEffect
>({
  ...operatorPart,
  ...settlementPart,
  ...fleetPart,
  ...dutyPart,
  ...placementPart,
  ...processPart,
});
