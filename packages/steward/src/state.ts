import { Timeline } from "@lavenderferry/configuration";
import { FleetNode } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";
import { Decisions, Random } from "@lavenderferry/runtime";
import type { StewardSettings } from "./settings.ts";

/** Everything that the steward's reducer knows. */
export interface StewardState {
  readonly settings: StewardSettings;
  readonly epoch: string;
  readonly timeline: Timeline;
  configurationKnown: boolean;
  vms: readonly Vm[];
  /** This process's part in the fleet. */
  readonly fleet: FleetNode;
  readonly random: Random;
  readonly decisions: Decisions;
}

const decisionCapacity = 4_096;

/** Creates the state of a process that has learned nothing yet. */
export function createStewardState(
  settings: StewardSettings,
  epoch: string,
  startedAt = 0,
): StewardState {
  return {
    settings,
    epoch,
    timeline: new Timeline(),
    configurationKnown: false,
    vms: [],
    fleet: new FleetNode({
      id: settings.vm,
      epoch,
      role: "steward",
      dataCentre: settings.dataCentre,
      region: settings.region,
      seed: settings.seed,
    }, startedAt),
    random: new Random(settings.seed),
    decisions: new Decisions(decisionCapacity),
  };
}
