import { createReducer } from "@lavenderferry/runtime";
import { callPart } from "./calls/call_part.ts";
import type { EntryEffect } from "./effects.ts";
import type { EntryEvent } from "./events.ts";
import { fleetPart } from "./fleet/fleet_part.ts";
import { generationPart } from "./generations/generation_part.ts";
import { lifecyclePart } from "./process/lifecycle_part.ts";
import { quarantinePart } from "./quarantine/quarantine_part.ts";
import type { EntryState } from "./state.ts";
import { usagePart } from "./usage/usage_part.ts";

/** Applies one event to the entry's state and returns the effects. */
export const reduceEntry = createReducer<EntryState, EntryEvent, EntryEffect>({
  ...generationPart,
  ...callPart,
  ...fleetPart,
  ...usagePart,
  ...quarantinePart,
  ...lifecyclePart,
});
