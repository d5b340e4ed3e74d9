import { reportTimeoutMs } from "@lavenderferry/policy";
import type { Moment } from "@lavenderferry/runtime";
import type { AskedEngine, RelayEffect } from "../relay_effect.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { Pool, RelayState } from "../state.ts";
import { count } from "../util/effects.ts";

/** A request that waits for the reports of the engines that may get it. */
export interface PendingPlacement {
  /** Ids of the engines among which it is placed. */
  readonly engines: readonly string[];
  /** Monotonic milliseconds at which it is placed at the latest. */
  readonly deadline: number;
}

/**
 * Shortest time between two requests for reports on behalf of queued requests.
 * Two reports each time are 20 a second, while a process has a queue.
 */
const queueReportIntervalMs = 100;

/**
 * Whether requests of a pool are placed by reports. Where all processes exchange
 * with each other, they know the load of engines without asking.
 */
export function usesReports(state: RelayState, { reporting }: Pool): boolean {
  return reporting !== null && !state.fleet.exchangesWithAll;
}

/**
 * Asks engines for their reports, except those whose report is fresh or is
 * requested already. Ids that are not known are ignored.
 */
export function requestReports(
  state: RelayState,
  ids: readonly string[],
  at: Moment,
): readonly RelayEffect[] {
  const { engineReports, upstreams } = state;
  const engines: AskedEngine[] = [];
  for (const id of ids) {
    const address = upstreams.get(id)?.address;
    if (
      address !== undefined && engineReports.fresh(id, at) === null &&
      !engineReports.isRequested(id, at)
    ) {
      engineReports.requested(id, at);
      engines.push({ id, address });
    }
  }
  const deadline = at.monotonic + reportTimeoutMs;
  return engines.length === 0 ? [] : [
    { kind: "report_engines", engines, askedAt: at, deadline },
    ...engines.map(() => count("reports", "asked")),
  ];
}

/**
 * Asks for the reports that a request is placed by, and returns the engines among
 * which it is placed. The request is pending afterwards unless all reports are
 * known or not expected in time.
 */
export function askBeforePlacement(
  state: RelayState,
  request: RelayedRequest,
  { pool, at }: { readonly pool: Pool; readonly at: Moment },
): {
  readonly engines: readonly string[];
  readonly effects: readonly RelayEffect[];
} {
  const { engineReports, pendingPlacements } = state;
  const { exchangeId, demand } = request;
  const engines = pool.reporting?.enginesToAsk(demand, at) ?? [];
  const effects = requestReports(state, engines, at);
  const awaitedUntil = Math.max(
    ...engines.map((id) => engineReports.awaitedUntil(id, at)),
    -Infinity,
  );
  if (awaitedUntil <= at.monotonic) {
    return { engines, effects };
  }
  const deadline = Math.min(awaitedUntil, request.deadline);
  pendingPlacements.set(exchangeId, { engines, deadline });
  const timer = {
    kind: "place_pending",
    exchangeId,
    dueAt: deadline,
  } as const;
  return {
    engines,
    effects: [...effects, { kind: "set_timer", timer, at: deadline }],
  };
}

/** Asks engines for their reports while requests are queued, at a bounded rate. */
export function askForQueues(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  if (at.monotonic < state.nextQueueReportAt) {
    return [];
  }
  const pools = [...state.pools.values()].filter((pool) =>
    usesReports(state, pool) && pool.dispatcher.waiting > 0
  );
  if (pools.length > 0) {
    state.nextQueueReportAt = at.monotonic + queueReportIntervalMs;
  }
  return pools.flatMap(({ reporting }) =>
    requestReports(state, reporting?.enginesToAskForQueue(at) ?? [], at)
  );
}
