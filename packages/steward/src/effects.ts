import type { DutyEffect } from "./fleet/duty_effect.ts";
import type { FleetEffect } from "./fleet/fleet_effect.ts";
import type { PlacementEffect } from "./fleet/placement_effect.ts";
import type { OperatorEffect } from "./operators/operator_effect.ts";
import type { ProcessEffect } from "./process/process_effect.ts";
import type { SettlementEffect } from "./settlement/settlement_effect.ts";

/** Effects that the steward's reducer returns. */
export type StewardEffect =
  | OperatorEffect
  | SettlementEffect
  | FleetEffect
  | DutyEffect
  | PlacementEffect
  | ProcessEffect;
