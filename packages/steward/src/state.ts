import { Timeline } from "@lavenderferry/configuration";
import { Duties, FleetNode } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";
import { Decisions, hashText, Random } from "@lavenderferry/runtime";
import type { StewardSettings } from "./settings.ts";
import type { SettlementState } from "./settlement/settlement_state.ts";
import { createSettlementState } from "./settlement/settlement_state.ts";

/** What an engine was ordered, as it confirmed. */
export interface Ordered {
  readonly fence: number;
  readonly models: string;
  /** Monotonic milliseconds at which it is stated again. */
  readonly until: number;
}

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
  /** This process's part in the fleet. */
  readonly fleet: FleetNode;
  /** The duties of this process and their leases. */
  readonly duties: Duties;
  /** Fences of the duties that the fleet was told to be held here. */
  readonly holding: Map<string, number>;
  /** Names of the pools of engines, in order. */
  pools: readonly string[];
  /** What each engine was last ordered, as it confirmed. */
  readonly ordered: Map<string, Ordered>;
  /** Monotonic milliseconds at which the wanted models are read next. */
  placementAt: number;
  /** Monotonic milliseconds at which the VM list was first read. */
  joinedAt: number | null;
  /** Monotonic milliseconds at which a planned stop ends. */
  stopAt: number | null;
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
  const seed = settings.seed ?? hashText(epoch);
  return {
    settings,
    epoch,
    timeline: new Timeline(),
    configurationKnown: false,
    vms: [],
    settlement: createSettlementState(),
    stopping: false,
    fleet: new FleetNode({
      id: settings.vm,
      epoch,
      role: "steward",
      dataCentre: settings.dataCentre,
      region: settings.region,
      seed,
    }, startedAt),
    duties: new Duties({ id: settings.vm, epoch }),
    holding: new Map(),
    pools: [],
    ordered: new Map(),
    placementAt: 0,
    joinedAt: null,
    stopAt: null,
    random: new Random(seed),
    decisions: new Decisions(decisionCapacity),
  };
}
