import { FleetNode } from "@lavenderferry/fleet";
import type { StoreVersion, Vm } from "@lavenderferry/platform";
import type { Dispatcher, ReportingDispatcher } from "@lavenderferry/policy";
import {
  AdaptiveDispatcher,
  Brittleness,
  ColdLimits,
  EarlyLosses,
  EngineReports,
  Reachability,
  RequestLimits,
  RetryBudget,
  SlotDispatcher,
  SuspectBlocks,
} from "@lavenderferry/policy";
import { Decisions, hashText, Random } from "@lavenderferry/runtime";
import type { SharedRead, SharedSource } from "./fleet/store_reads.ts";
import type { Suspension } from "./process/suspension.ts";
import type { AbandonedRun } from "./moves/abandoned_run.ts";
import { CloseEffects } from "./moves/close_effects.ts";
import { CopyRate } from "./moves/copy_rate.ts";
import type { FinalEvents } from "./moves/final_events.ts";
import { LeaveRate } from "./moves/leave_rate.ts";
import type { PendingPlacement } from "./reports/ask_engines.ts";
import type { AnswerTimes } from "./requests/answer_times.ts";
import type { RelayedRequest } from "./requests/relayed_request.ts";
import type { UnconfirmedRequest } from "./requests/unconfirmed_request.ts";
import type { RouteTable } from "./routing/route_table.ts";
import type { Routing, Service } from "./routing/routing.ts";
import { routingSchema } from "./routing/routing.ts";
import type { RelaySettings } from "./settings.ts";
import type { ColdUpstreams } from "./upstreams/cold_upstreams.ts";
import { createColdUpstreams } from "./upstreams/cold_upstreams.ts";

/** Upstreams of one service, with the state that decides which get work. */
export interface Pool {
  readonly service: Service;
  readonly dispatcher: Dispatcher;
  /**
   * The dispatcher, where it can place by the reports of a few engines; `null`
   * for services without engines.
   */
  readonly reporting: ReportingDispatcher | null;
  /** What the upstreams say of the rejections that they bear. */
  readonly brittleness: Brittleness;
  /** How often its engines leave. */
  readonly leaveRate: LeaveRate;
  /** Limits how many attempts are retries. */
  readonly retryBudget: RetryBudget;
  /** Ids of upstreams that the dispatcher may choose. */
  readonly openUpstreams: Set<string>;
}

/** An upstream as the store last listed it. */
export interface KnownUpstream extends Vm {
  /** Version of the latest list that contained it. */
  readonly listedIn: StoreVersion;
  /** Whether a later list without it was confirmed. */
  readonly isRemoved: boolean;
}

/** The upstreams that the store lists. */
export interface UpstreamList {
  readonly vms: readonly Vm[];
  /** Each change of the store raises it. */
  readonly version: StoreVersion;
}

/**
 * The first list that was read in an era of the store. Rows that have not been
 * written since may be those of the copy from which the store was restored.
 */
export interface EraStart {
  readonly version: StoreVersion;
  /**
   * Monotonic milliseconds from which a row that is still listed shows that its
   * upstream is running.
   */
  readonly rowsTrustedFrom: number;
}

/** Removes an upstream from a pool, so that it gets no new work. */
export function closeUpstream(
  { dispatcher, openUpstreams }: Pool,
  id: string,
): void {
  openUpstreams.delete(id);
  dispatcher.removeEngine(id);
}

/** Mutable state of the relay; only the reducer changes it. */
export interface RelayState {
  readonly settings: RelaySettings;
  /** Random id of this run of the process. */
  readonly epoch: string;
  readonly random: Random;
  /** Routing in force; `null` until the first one was received. */
  routeTable: RouteTable | null;
  /** Pools by the name of their service. */
  readonly pools: Map<string, Pool>;
  /** Upstreams that are listed or still run requests, by id. */
  upstreams: ReadonlyMap<string, KnownUpstream>;
  /** Version of the latest list of upstreams. */
  upstreamsVersion: StoreVersion;
  /** `null` before the upstreams were read. */
  eraStart: EraStart | null;
  /** Whether the upstreams were read at least once. */
  upstreamsKnown: boolean;
  /** Reasons why closed upstreams take no new work, by upstream id. */
  readonly closeReasons: Map<string, string>;
  /** Data centres under evacuation, as they were last applied. */
  evacuated: ReadonlySet<string>;
  /** Keys of rows that could not be parsed when they were last read. */
  readonly unreadable: {
    upstreams: readonly string[];
    members: readonly string[];
  };
  /** Relay processes of the fleet, as last listed in the store. */
  members: readonly Vm[];
  /** Whether the members were read at least once. */
  membersKnown: boolean;
  /** Era of the store's table as last read; `null` before the first read. */
  storeEra: number | null;
  /** Latest era of the store that peers have announced; 0 if none. */
  announcedEra: number;
  /** Monotonic milliseconds of the first failed read of a store outage. */
  outageStartedAt: number | null;
  /** Monotonic milliseconds until which unlisted upstreams are kept. */
  keepMissingUntil: number;
  /** Last list of upstreams while unlisted ones are kept, else `null`. */
  unconfirmedUpstreams: UpstreamList | null;
  readonly fleet: FleetNode<Routing>;
  /** When the store is read next, by what is read. */
  readonly reads: Readonly<Record<SharedSource, SharedRead>>;
  /** Whether this process was last found to read the store for all. */
  readsForAll: boolean;
  /** Requests in progress, by exchange id. */
  readonly requests: Map<string, RelayedRequest>;
  /** Requests that wait for the routing to be confirmed, by exchange id. */
  readonly unconfirmedRequests: Map<string, UnconfirmedRequest>;
  /** Runs that nobody reads and that may go on, by address and request id. */
  readonly abandonedRuns: Map<string, AbandonedRun>;
  readonly closeEffects: CloseEffects;
  /** Newest reports of engines, and the requests for them. */
  readonly engineReports: EngineReports;
  /** Requests that wait for reports of engines, by exchange id. */
  readonly pendingPlacements: Map<string, PendingPlacement>;
  /** Monotonic milliseconds from which a queue may ask engines again. */
  nextQueueReportAt: number;
  /** Wall-clock less monotonic milliseconds at the last event. */
  clockOffset: number | null;
  suspension: Suspension | null;
  /** Whether the routing was last found to be as new as it must be. */
  routingIsConfirmed: boolean;
  /** Limits that upstreams name on the requests from all processes. */
  readonly requestLimits: RequestLimits;
  readonly cold: ColdUpstreams;
  /** Durations of complete answers, by the name of their route. */
  readonly answerTimes: Map<string, AnswerTimes>;
  /** Whether a timer is set that releases queued requests. */
  isReleaseScheduled: boolean;
  readonly copyRate: CopyRate;
  /** Lengths of the latest generations, by the name of their service. */
  readonly finalEvents: Map<string, FinalEvents>;
  /** Blocks of prompts under which engines ended. */
  readonly suspects: SuspectBlocks;
  readonly reachability: Reachability;
  /** Whether a timer is set that tries upstreams which were not reached. */
  probing: boolean;
  /** Monotonic deadlines until which peers get no forwarded requests, by id. */
  readonly avoidedPeers: Map<string, number>;
  /** Losses of attempts that had just begun. */
  readonly earlyLosses: EarlyLosses;
  /** Blocks under quarantine when they were last written to the store. */
  statedQuarantine: string;
  /** Latest decisions, for `explain` requests. */
  readonly decisions: Decisions;
  /** Number of the next id from `nextId()`. */
  nextId: number;
  stopping: boolean;
  /** Monotonic milliseconds at which a stopping process exits in any case. */
  stopDeadline: number;
  /** Monotonic milliseconds at which the last request was received. */
  lastRequestAt: number;
}

/** Number of decisions kept in memory for `explain` requests. */
const decisionCapacity = 1_024;

/** Peers only need the newest routing. */
const keptRoutingVersions = 1;

/** Peers up to which all processes exchange with each other. */
const meshSize = 12;

/**
 * Creates the state of a process that has read nothing from the store yet.
 * `startedAt` is in milliseconds since the Unix epoch.
 */
export function createRelayState(
  settings: RelaySettings,
  epoch: string,
  startedAt = 0,
): RelayState {
  const seed = hashText(epoch);
  return {
    settings,
    epoch,
    random: new Random(seed),
    routeTable: null,
    pools: new Map(),
    upstreams: new Map(),
    upstreamsVersion: 0,
    eraStart: null,
    upstreamsKnown: false,
    closeReasons: new Map(),
    evacuated: new Set(),
    unreadable: { upstreams: [], members: [] },
    members: [],
    membersKnown: false,
    storeEra: null,
    announcedEra: 0,
    outageStartedAt: null,
    keepMissingUntil: 0,
    unconfirmedUpstreams: null,
    fleet: new FleetNode<Routing>({
      id: settings.vm,
      epoch,
      role: "entry",
      dataCentre: settings.dataCentre,
      region: settings.region,
      seed,
      keptVersions: keptRoutingVersions,
      meshSize,
      freshnessMs: settings.freshnessMs,
      readsDocuments: true,
      followsEvacuations: settings.evacuationBoundMs !== null,
      readConfiguration: (document) => {
        const parsed = routingSchema.safeParse(document);
        return parsed.success ? parsed.data : null;
      },
    }, startedAt),
    reads: {
      routing: { dueAt: 0, failures: 0 },
      upstreams: { dueAt: 0, failures: 0 },
    },
    readsForAll: true,
    requests: new Map(),
    unconfirmedRequests: new Map(),
    abandonedRuns: new Map(),
    closeEffects: new CloseEffects(),
    engineReports: new EngineReports(),
    pendingPlacements: new Map(),
    nextQueueReportAt: 0,
    clockOffset: null,
    suspension: null,
    routingIsConfirmed: true,
    requestLimits: new RequestLimits(
      settings.vm,
      settings.coldTolerance === null
        ? null
        : new ColdLimits(settings.vm, settings.coldTolerance),
    ),
    cold: createColdUpstreams(),
    answerTimes: new Map(),
    isReleaseScheduled: false,
    copyRate: new CopyRate(),
    finalEvents: new Map(),
    suspects: new SuspectBlocks(epoch),
    reachability: new Reachability(),
    probing: false,
    avoidedPeers: new Map(),
    earlyLosses: new EarlyLosses(),
    statedQuarantine: "",
    decisions: new Decisions(decisionCapacity),
    nextId: 1,
    stopping: false,
    stopDeadline: Infinity,
    lastRequestAt: 0,
  };
}

/** Creates the pool of a service, without upstreams. */
export function createPool(state: RelayState, service: Service): Pool {
  const { settings, requestLimits: limits } = state;
  const { dataCentre } = settings;
  const seed = hashText(`${state.epoch}/${service.name}`);
  const brittleness = new Brittleness();
  const reporting = service.engines === null
    ? null
    : new AdaptiveDispatcher(seed, {}, limits);
  return {
    service,
    brittleness,
    dispatcher: reporting ??
      new SlotDispatcher(seed, { dataCentre, limits, brittleness }),
    reporting,
    leaveRate: new LeaveRate(),
    retryBudget: new RetryBudget({
      share: settings.retryShare,
      burst: computeRetryBurst(state),
    }),
    openUpstreams: new Set(),
  };
}

/**
 * Returns this process's share of the retries that the whole fleet may send in
 * one window: half of them, as windows overlap, divided by the member count.
 */
export function computeRetryBurst({ settings, fleet }: RelayState): number {
  const members = fleet.membership.all()
    .filter(({ state }) => state !== "gone").length;
  return Math.max(1, Math.floor(settings.retryBurst / (2 * members)));
}

/** Returns an id that is unique across processes and their runs. */
export function nextId(state: RelayState): string {
  return `${state.epoch}-${state.nextId++}`;
}
