import { Timeline } from "@lavenderferry/configuration";
import { Duties, FleetNode } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";
import { Decisions, hashText, Random } from "@lavenderferry/runtime";
import type { StewardSettings } from "./settings.ts";
import type { SettlementState } from "./settlement/settlement_state.ts";
import { createSettlementState } from "./settlement/settlement_state.ts";

/** The last order to an engine that the engine confirmed. */
export interface ConfirmedOrder {
  readonly fence: number;
  /** Models that the engine reported, joined by commas. */
  readonly models: string;
  /** Monotonic milliseconds at which the order is sent again. */
  readonly resendAt: number;
}

/** State of the steward's reducer, which updates it in place. */
export interface StewardState {
  readonly settings: StewardSettings;
  readonly epoch: string;
  readonly timeline: Timeline;
  /** Whether the table or enough peers confirmed a configuration. */
  configurationKnown: boolean;
  vms: readonly Vm[];
  readonly settlement: SettlementState;
  /** Whether a planned stop was requested. */
  stopping: boolean;
  /** Ids of the operators' requests that are not answered. */
  readonly openReplies: Set<string>;
  /** Whether a signal has asked for the planned stop. */
  stopSignalled: boolean;
  /** Members, duties and configurations exchanged with peers. */
  readonly fleet: FleetNode;
  /** The duties of this process and their leases. */
  readonly duties: Duties;
  /** Fences of the duties that this process announced as held, by duty. */
  readonly announcedFences: Map<string, number>;
  /** Names of the pools of engines, sorted. */
  pools: readonly string[];
  /** The last confirmed order of each engine, by VM id. */
  readonly confirmedOrders: Map<string, ConfirmedOrder>;
  /** Monotonic milliseconds at which the desired models are read next. */
  nextPlacementReadAt: number;
  /** Monotonic milliseconds at which the VM list was first read. */
  firstVmListAt: number | null;
  /** Monotonic milliseconds until which a planned stop waits for releases. */
  releaseDeadline: number | null;
  readonly random: Random;
  readonly decisions: Decisions;
}

const decisionCapacity = 4_096;

/**
 * Creates the initial state; `startedAt` is in milliseconds since the Unix
 * epoch.
 */
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
    openReplies: new Set(),
    stopSignalled: false,
    fleet: new FleetNode({
      id: settings.vm,
      epoch,
      role: "steward",
      dataCentre: settings.dataCentre,
      region: settings.region,
      seed,
    }, startedAt),
    duties: new Duties({ id: settings.vm, epoch }),
    announcedFences: new Map(),
    pools: [],
    confirmedOrders: new Map(),
    nextPlacementReadAt: 0,
    firstVmListAt: null,
    releaseDeadline: null,
    random: new Random(seed),
    decisions: new Decisions(decisionCapacity),
  };
}
