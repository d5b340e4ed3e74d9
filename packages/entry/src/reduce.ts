import { reducerOf } from "@lavenderferry/runtime";
import { callPart } from "./calls/call_part.ts";
import type { EntryEffect } from "./effects.ts";
import type { EntryEvent } from "./events.ts";
import { fleetPart } from "./fleet/fleet_part.ts";
import { generationPart } from "./generations/generation_part.ts";
import { lifecyclePart } from "./process/lifecycle_part.ts";
import type { EntryState } from "./state.ts";
import { usagePart } from "./usage/usage_part.ts";

/** Decides what the entry does about one event. */
export const reduceEntry = reducerOf<EntryState, EntryEvent, EntryEffect>({
  ...generationPart,
  ...callPart,
  ...fleetPart,
  ...usagePart,
  ...lifecyclePart,
});
