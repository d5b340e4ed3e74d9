import { FleetNode } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";
import type { Dispatcher } from "@lavenderferry/policy";
import {
  AdaptiveDispatcher,
  RetryBudget,
  SlotDispatcher,
} from "@lavenderferry/policy";
import { Decisions, hashText, Random } from "@lavenderferry/runtime";
import { CopyRate } from "./moves/copy_rate.ts";
import type { RelayedRequest } from "./requests/relayed_request.ts";
import type { RouteTable } from "./routing/route_table.ts";
import type { Routing, Service } from "./routing/routing.ts";
import { routingSchema } from "./routing/routing.ts";
import type { RelaySettings } from "./settings.ts";

/** The upstreams of one service, and what is decided about them. */
export interface Pool {
  readonly service: Service;
  readonly dispatcher: Dispatcher;
  readonly repeats: RetryBudget;
  /** Upstreams that take work, and whose size the dispatcher knows. */
  readonly open: Set<string>;
}

/** Gives an upstream of a pool no new work. */
export function closeUpstream({ dispatcher, open }: Pool, id: string): void {
  open.delete(id);
  dispatcher.removeEngine(id);
}

/** Everything that the relay's reducer knows. */
export interface RelayState {
  readonly settings: RelaySettings;
  /** Random name of this run of the process. */
  readonly epoch: string;
  readonly random: Random;
  /** `null` until a routing was learned. */
  routes: RouteTable | null;
  readonly pools: Map<string, Pool>;
  /** Upstreams that take work or that run some, by id. */
  upstreams: ReadonlyMap<string, Vm>;
  upstreamsKnown: boolean;
  /** Why upstreams take no new work, while they are remembered. */
  readonly left: Map<string, string>;
  /** Keys of rows that could not be used when they were last read. */
  readonly unreadable: {
    upstreams: readonly string[];
    members: readonly string[];
  };
  members: readonly Vm[];
  membersKnown: boolean;
  /** Monotonic milliseconds of the first failure since the last answer. */
  sourceLostAt: number | null;
  /** Monotonic milliseconds until which missing upstreams are kept. */
  keepMissingUntil: number;
  /** The last list of upstreams, while missing ones are kept. */
  unconfirmed: readonly Vm[] | null;
  readonly fleet: FleetNode<Routing>;
  readonly requests: Map<string, RelayedRequest>;
  /** How fast engines copied memory. */
  readonly copyRate: CopyRate;
  readonly decisions: Decisions;
  nextId: number;
  stopping: boolean;
  /** Monotonic milliseconds. */
  stopDeadline: number;
  /** Monotonic milliseconds of the last request that came in. */
  lastRequestAt: number;
}

/** Decisions kept in memory for questions about a request. */
const decisionCapacity = 1_024;

/** Only the newest routing is of use to a peer. */
const keptRoutings = 1;

/** Small fleets call every peer, so that all know each other's work. */
const fanOut = { near: 4, far: 8 };

/** Creates the state of a process that has learned nothing yet. */
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
    routes: null,
    pools: new Map(),
    upstreams: new Map(),
    upstreamsKnown: false,
    left: new Map(),
    unreadable: { upstreams: [], members: [] },
    members: [],
    membersKnown: false,
    sourceLostAt: null,
    keepMissingUntil: 0,
    unconfirmed: null,
    fleet: new FleetNode<Routing>({
      id: settings.vm,
      epoch,
      role: "entry",
      dataCentre: settings.dataCentre,
      region: settings.region,
      seed,
      keptVersions: keptRoutings,
      fanOut,
      readConfiguration: (document) => {
        const parsed = routingSchema.safeParse(document);
        return parsed.success ? parsed.data : null;
      },
    }, startedAt),
    requests: new Map(),
    copyRate: new CopyRate(),
    decisions: new Decisions(decisionCapacity),
    nextId: 1,
    stopping: false,
    stopDeadline: Infinity,
    lastRequestAt: 0,
  };
}

/** Creates the pool of a service. */
export function createPool(state: RelayState, service: Service): Pool {
  const { settings } = state;
  const seed = hashText(`${state.epoch}/${service.name}`);
  return {
    service,
    dispatcher: service.engines === null
      ? new SlotDispatcher(seed, settings.dataCentre)
      : new AdaptiveDispatcher(seed),
    repeats: new RetryBudget({
      share: settings.repeatShare,
      burst: repeatsOf(state),
    }),
    open: new Set(),
  };
}

/**
 * Part of the repeats that the fleet may send which one process takes: half,
 * as windows overlap, over the members.
 */
export function repeatsOf({ settings, fleet }: RelayState): number {
  const members = fleet.membership.all()
    .filter(({ state }) => state !== "gone").length;
  return Math.max(1, Math.floor(settings.repeats / (2 * members)));
}

/** Returns an id that no other process or run uses. */
export function nextId(state: RelayState): string {
  return `${state.epoch}-${state.nextId++}`;
}
