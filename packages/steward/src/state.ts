import { Timeline } from "@lavenderferry/configuration";
import type { Vm } from "@lavenderferry/platform";
import { Decisions } from "@lavenderferry/runtime";
import type { StewardSettings } from "./settings.ts";
import type { SettlementState } from "./settlement/settlement_state.ts";
import { createSettlementState } from "./settlement/settlement_state.ts";

/** Everything that the steward's reducer knows. */
export interface StewardState {
  readonly settings: StewardSettings;
  readonly epoch: string;
  readonly timeline: Timeline;
  configurationKnown: boolean;
  vms: readonly Vm[];
  readonly settlement: SettlementState;
  /** A planned stop was asked for. */
  stopping: boolean;
  readonly decisions: Decisions;
}

const decisionCapacity = 4_096;

/** Creates the state of a process that has learned nothing yet. */
export function createStewardState(
  settings: StewardSettings,
  epoch: string,
): StewardState {
  return {
    settings,
    epoch,
    timeline: new Timeline(),
    configurationKnown: false,
    vms: [],
    settlement: createSettlementState(),
    stopping: false,
    decisions: new Decisions(decisionCapacity),
  };
}
