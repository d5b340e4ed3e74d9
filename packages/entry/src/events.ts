import type { EngineChecked } from "@lavenderferry/fleet";
import type { CallEvent } from "./calls/call_event.ts";
import type { FleetEvent } from "./fleet/fleet_event.ts";
import type { GenerationEvent } from "./generations/generation_event.ts";
import type { ProcessEvent } from "./process/process_event.ts";
import type { UsageEvent } from "./usage/usage_event.ts";

/** Every event that the entry's reducer accepts. */
export type EntryEvent =
  | GenerationEvent
  | CallEvent
  | FleetEvent
  | EngineChecked
  | UsageEvent
  | ProcessEvent;
