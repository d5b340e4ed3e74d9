import type { DutyEvent } from "./fleet/duty_event.ts";
import type { FleetEvent } from "./fleet/fleet_event.ts";
import type { PlacementEvent } from "./fleet/placement_event.ts";
import type { OperatorEvent } from "./operators/operator_event.ts";
import type { ProcessEvent } from "./process/process_event.ts";
import type { SettlementEvent } from "./settlement/settlement_event.ts";

/** Events that the steward's reducer accepts. */
export type StewardEvent =
  | OperatorEvent
  | SettlementEvent
  | FleetEvent
  | DutyEvent
  | PlacementEvent
  | ProcessEvent;
