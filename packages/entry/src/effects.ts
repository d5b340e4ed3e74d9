import type { EngineCheck } from "@lavenderferry/fleet";
import type { CallEffect } from "./calls/call_effect.ts";
import type { FleetEffect } from "./fleet/fleet_effect.ts";
import type {
  EngineEffect,
  ReaderEffect,
  TakeOverEffect,
} from "./generations/generation_effect.ts";
import type { ProcessEffect } from "./process/process_effect.ts";
import type { UsageEffect } from "./usage/usage_effect.ts";

/** Every effect that the entry's reducer returns. */
export type EntryEffect =
  | EngineEffect
  | EngineCheck
  | ReaderEffect
  | TakeOverEffect
  | CallEffect
  | FleetEffect
  | UsageEffect
  | ProcessEffect;
