import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { Routing } from "../routing/routing.ts";
import type { KnownUpstream, RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";

/** What was last read of how long an upstream stays cold. */
interface ColdReading {
  /** The row that said so. */
  readonly row: string;
  /** Monotonic milliseconds at which the upstream is warm. */
  readonly until: number;
}

/** What a relay knows of cold upstreams, from the store's rows. */
export interface ColdUpstreams {
  /** Latest readings by upstream; discarded with the upstream. */
  readonly readings: Map<string, ColdReading>;
  /** Requests a second that one cold upstream handles, by service. */
  rates: ReadonlyMap<string, number>;
  /** Version of the routing that named the rates. */
  ratesVersion: number;
}

/** Creates the state of a relay that knows of no cold upstream. */
export function createColdUpstreams(): ColdUpstreams {
  return { readings: new Map(), rates: new Map(), ratesVersion: -1 };
}

/**
 * Takes the rates from a routing that is newer than the one that named the known
 * ones. A routing that an older build has passed on names none, so the former
 * rates hold until the same version is read from the store.
 */
export function learnColdRates(
  state: RelayState,
  { version, services }: Pick<Routing, "version" | "services">,
  at: Moment,
): readonly RelayEffect[] {
  const { cold } = state;
  const isStated = services.some(({ coldRate }) => coldRate !== undefined);
  if (!isStated || version <= cold.ratesVersion) {
    return [];
  }
  cold.ratesVersion = version;
  cold.rates = new Map(
    services.map(({ name, coldRate = 0 }) => [name, coldRate]),
  );
  return applyColdLimits(state, at);
}

/**
 * Limits the requests to the upstreams that are cold, as the list and the routing
 * say, and ends the limits of those that are warm or no longer listed.
 */
export function applyColdLimits(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const { cold, upstreams, requestLimits: { cold: limits } } = state;
  if (limits === null) {
    return [];
  }
  const effects: RelayEffect[] = [];
  for (const id of cold.readings.keys()) {
    if (!upstreams.has(id)) {
      cold.readings.delete(id);
      limits.remove(id);
    }
  }
  for (const upstream of upstreams.values()) {
    const { id, pool = "" } = upstream;
    const until = coldUntil(cold, upstream, at);
    const requestsPerSecond = cold.rates.get(pool) ?? 0;
    const wasCold = limits.isCold(id);
    if (until > at.monotonic && requestsPerSecond > 0) {
      limits.limit(id, { requestsPerSecond, until, at });
    } else {
      limits.remove(id);
    }
    const isCold = limits.isCold(id);
    if (isCold !== wasCold) {
      effects.push(recordCold(state, id, { isCold, until, at }));
    }
  }
  return effects;
}

/** Whether an upstream is cold and may not be sent a request of this relay yet. */
export function isOverColdLimit(
  { requestLimits: { cold } }: Pick<RelayState, "requestLimits">,
  id: string,
  at: Moment,
): boolean {
  return cold !== null && cold.nextStartAt(id) > at.monotonic;
}

/** Ends the limits of upstreams whose time has passed. */
export function removeExpiredCold(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const expired = state.requestLimits.cold?.removeExpired(at) ?? [];
  return expired.map((id) =>
    recordCold(state, id, { isCold: false, until: at.monotonic, at })
  );
}

/**
 * Divides the limits between the processes that may be running: those that have
 * not ended as far as peers know, and those that the store lists, as a process
 * out of contact is taken for ended but goes on sending.
 */
export function divideColdLimits(
  { fleet, members, membersKnown, requestLimits }: RelayState,
  at: Moment,
): void {
  if (!membersKnown) {
    return;
  }
  const running = fleet.membership.all().filter(({ state }) =>
    state !== "gone"
  );
  const ids = [...running, ...members].map(({ id }) => id);
  requestLimits.cold?.setMembers(ids, at);
}

/**
 * Returns the monotonic milliseconds at which an upstream is warm. The time counts
 * from the first read of a row; a row without a statement changes nothing.
 */
function coldUntil(
  { readings }: ColdUpstreams,
  { id, coldMs, version = 0 }: KnownUpstream,
  at: Moment,
): number {
  const known = readings.get(id);
  const row = `${version}/${coldMs ?? ""}`;
  if (coldMs === undefined || known?.row === row) {
    return known?.until ?? -Infinity;
  }
  const until = coldMs === 0 ? -Infinity : at.monotonic + coldMs;
  readings.set(id, { row, until });
  return until;
}

function recordCold(
  state: RelayState,
  subject: string,
  { isCold, until, at }: {
    readonly isCold: boolean;
    readonly until: number;
    readonly at: Moment;
  },
): RelayEffect {
  const coldMs = isCold ? Math.round(until - at.monotonic) : 0;
  return recordDecision(state, {
    kind: "member",
    subject,
    reason: isCold ? "cold" : "warm",
    figures: { coldMs },
  }, at);
}
