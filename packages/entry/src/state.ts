import { Timeline } from "@lavenderferry/configuration";
import { FleetNode } from "@lavenderferry/fleet";
import { UsageMeter } from "@lavenderferry/ledger";
import type { Vm } from "@lavenderferry/platform";
import type { Dispatcher } from "@lavenderferry/policy";
import {
  dispatcherFactories,
  EarlyLosses,
  SuspectBlocks,
} from "@lavenderferry/policy";
import { Decisions, hashText, Random } from "@lavenderferry/runtime";
import type { Call } from "./calls/call.ts";
import type {
  CancelledGeneration,
  Generation,
} from "./generations/generation.ts";
import type { EntrySettings } from "./settings.ts";
import type { UsageHandover } from "./usage/usage_handover.ts";
import { createUsageHandover } from "./usage/usage_handover.ts";

/** State of the entry's reducer. */
export interface EntryState {
  readonly settings: EntrySettings;
  /** Random id of this run of the process. */
  readonly epoch: string;
  /** Address on which peers reach this process; empty until it listens. */
  peerAddress: string;
  readonly random: Random;
  readonly timeline: Timeline;
  /** Whether a configuration was read from the table or taken from peers. */
  configurationKnown: boolean;
  /** VMs of the last listing, by id. */
  vms: ReadonlyMap<string, Vm>;
  vmsKnown: boolean;
  /** Members, marks, duties and configurations shared with peers. */
  readonly fleet: FleetNode;
  readonly dispatcher: Dispatcher;
  /** Generations in progress, by generation id. */
  readonly generations: Map<string, Generation>;
  /** Generation ids by the id of the connected reader. */
  readonly generationIdByReader: Map<string, string>;
  /** Generations in the dispatcher's backlog, by request id. */
  readonly waiting: Map<string, Generation>;
  /** Blocks of prompts under which engines ended. */
  readonly suspects: SuspectBlocks;
  /** Losses of attempts that had just begun. */
  readonly earlyLosses: EarlyLosses;
  /** Service calls in progress, by call id. */
  readonly calls: Map<string, Call>;
  readonly usage: UsageMeter;
  readonly usageHandover: UsageHandover;
  readonly decisions: Decisions;
  /** Cancelled generations whose cost is not known yet. */
  readonly cancelled: Map<string, CancelledGeneration>;
  /** Sequence number of the next id that `nextId` returns. */
  nextId: number;
  stopping: boolean;
  /** Whether the stop deadline has passed and streams are handed over. */
  handingOver: boolean;
  /** Whether a signal has asked for the planned stop. */
  stopSignalled: boolean;
}

const decisionCapacity = 4_096;

/** Creates the initial state, without upstreams or a configuration. */
export function createEntryState(
  settings: EntrySettings,
  epoch: string,
  startedAt = 0,
): EntryState {
  const seed = settings.seed ?? hashText(epoch);
  return {
    settings,
    epoch,
    peerAddress: "",
    random: new Random(seed),
    timeline: new Timeline(),
    configurationKnown: false,
    vms: new Map(),
    vmsKnown: false,
    fleet: new FleetNode({
      id: settings.vm,
      epoch,
      role: "entry",
      dataCentre: settings.dataCentre,
      region: settings.region,
      seed,
    }, startedAt),
    dispatcher: dispatcherFactories[settings.policy](seed),
    generations: new Map(),
    generationIdByReader: new Map(),
    waiting: new Map(),
    suspects: new SuspectBlocks(epoch),
    earlyLosses: new EarlyLosses(),
    calls: new Map(),
    usage: new UsageMeter(epoch),
    usageHandover: createUsageHandover(),
    decisions: new Decisions(decisionCapacity),
    cancelled: new Map(),
    nextId: 1,
    stopping: false,
    handingOver: false,
    stopSignalled: false,
  };
}

/** Returns an id that is unique across processes and their runs. */
export function nextId(state: EntryState): string {
  return `${state.epoch}-${state.nextId++}`;
}
