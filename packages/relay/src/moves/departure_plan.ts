import { markReasons } from "@lavenderferry/fleet";
import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { EngineReport, RunningGeneration } from "../relay_event.ts";
import { requestReports, usesReports } from "../reports/ask_engines.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { KnownUpstream, Pool, RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";
import type { ScheduledMove } from "./departure_schedule.ts";
import {
  beginsNow,
  computeDepartureSchedule,
  eventPeriodMs,
  lastChanceMs,
  moveMsOf,
} from "./departure_schedule.ts";
import { hasCompleteCopy, scheduleDeparture } from "./departure.ts";
import { FinalEvents } from "./final_events.ts";

/**
 * Milliseconds from the notice until an engine leaves that does not report when.
 * Engines stay for 1.5 to 2.1 s, and a relay learns of the notice later.
 */
const assumedNoticeMs = 1_500;

/**
 * Milliseconds from the notice until all engines have left. Figures of a report
 * are some hundred milliseconds old, so what it says may be too late.
 */
const maxNoticeMs = 2_100;

/** Targets of a move that are asked for their reports. */
const askedTargets = 3;

/** How the move of a generation goes on after a report. */
export type DepartureDecision =
  | { readonly kind: "move"; readonly effects: readonly RelayEffect[] }
  | { readonly kind: "wait"; readonly effects: readonly RelayEffect[] };

/**
 * Decides by the report of a leaving engine when one of its generations is
 * moved. Returns `null` if its list cannot be used or its relays derive their
 * turns from sizes alone: those of a fleet in which all exchange with each other.
 */
export function decideDeparture(
  state: RelayState,
  request: RelayedRequest,
  { report, runs, at }: {
    readonly report: EngineReport;
    /** Generations of the report that need a move. */
    readonly runs: readonly RunningGeneration[];
    readonly at: Moment;
  },
): DepartureDecision | null {
  const { exchangeId, requestId, service, upstream } = request;
  const pool = state.pools.get(service);
  const source = state.upstreams.get(upstream);
  const { leavesMs: reportedMs = null } = report;
  if (
    pool === undefined || source === undefined ||
    state.fleet.exchangesWithAll || runs.length === 0
  ) {
    return null;
  }
  const now = at.monotonic;
  const { terminationNoticeAt: noticedAt } = request;
  const leavesAt = reportedMs === null ? noticedAt + assumedNoticeMs : Math.min(
    now + reportedMs,
    noticedAt + maxNoticeMs,
    request.departure?.isReported === true
      ? request.departure.leavesAt
      : Infinity,
  );
  const { turns = 0 } = request.departure ?? {};
  const isReported = reportedMs !== null;
  const leavesMs = Math.max(0, leavesAt - now);
  const { copyTokensPerMs } = pool.service.engines ?? {};
  const finalEvents = state.finalEvents.get(service);
  const { targets, leaving } = listSites(state, pool);
  const schedule = computeDepartureSchedule({
    source,
    runs,
    leavesMs,
    leaving,
    targets,
    tokensPerMs: copyTokensPerMs ?? state.copyRate.tokensPerMs,
    endsWithin: (events, more) =>
      finalEvents?.endsWithin(events, more) ?? false,
  });
  const move = schedule.moves.find((other) => other.requestId === requestId);
  const moveTargets = move?.targets ?? [];
  request.departure = { leavesAt, isReported, targets: moveTargets, turns };
  const record = (reason: string, startMs: number) =>
    recordTurn(state, request, { reason, startMs, leavesMs, runs, move, at });
  if (endsInTime(pool, request, { endsBy: leavesAt - lastChanceMs, at })) {
    const dueAt = leavesAt - lastChanceMs;
    return {
      kind: "wait",
      effects: [
        record("move_not_needed", dueAt - now),
        scheduleDeparture(exchangeId, dueAt),
      ],
    };
  }
  if (move === undefined) {
    const { reviewMs } = schedule;
    return {
      kind: "wait",
      effects: [
        record("move_reviewed", reviewMs),
        scheduleDeparture(exchangeId, now + reviewMs),
      ],
    };
  }
  if (beginsNow(schedule, move, turns)) {
    return { kind: "move", effects: askTargets(state, pool, { move, at }) };
  }
  const { startMs } = move;
  request.departure = { ...request.departure, turns: turns + 1 };
  return {
    kind: "wait",
    effects: [
      record("move_scheduled", startMs),
      ...askTargets(state, pool, { move, at }),
      scheduleDeparture(exchangeId, now + startMs),
    ],
  };
}

/**
 * Returns the ids of an engine's generations that can be resumed from a
 * complete copy. They need no move.
 */
export function listCopiedRequestIds(
  state: RelayState,
  upstream: string,
  at: Moment,
): ReadonlySet<string> {
  const ids = new Set<string>();
  for (const request of state.requests.values()) {
    if (request.upstream === upstream && hasCompleteCopy(request, at)) {
      ids.add(request.requestId);
    }
  }
  return ids;
}

/** Milliseconds that the move of a generation to an engine takes. */
export function expectedMoveMs(
  state: RelayState,
  request: RelayedRequest,
  { to, tokens }: { readonly to: KnownUpstream; readonly tokens: number },
): number {
  const { engines = null } = state.pools.get(request.service)?.service ?? {};
  const source = state.upstreams.get(request.upstream);
  const rate = engines?.copyTokensPerMs ?? state.copyRate.tokensPerMs;
  return moveMsOf(tokens, rate, source?.dataCentre !== to.dataCentre);
}

/** Remembers how many events a complete generation had. */
export function recordFinalEvents(
  { finalEvents }: RelayState,
  { service, events }: RelayedRequest,
): void {
  const known = finalEvents.get(service) ?? new FinalEvents();
  finalEvents.set(service, known);
  known.add(events);
}

/** Returns the engines of a service that accept work and those that leave. */
function listSites(
  { upstreams, closeReasons }: RelayState,
  { service, openUpstreams }: Pool,
): {
  readonly targets: readonly KnownUpstream[];
  readonly leaving: readonly KnownUpstream[];
} {
  const engines = [...upstreams.values()].filter(({ pool, isRemoved }) =>
    pool === service.name && !isRemoved
  );
  return {
    targets: engines.filter(({ id }) => openUpstreams.has(id)),
    // Engines that are closed for other reasons stay, and move nothing.
    leaving: engines.filter(({ id, state }) =>
      state === "leaving" || closeReasons.get(id) === markReasons.leaving ||
      closeReasons.get(id) === markReasons.draining
    ),
  };
}

/**
 * Whether the limit of a generation's tokens ends it before a time to come. One
 * that has reached the limit and goes on is not ended by it.
 */
function endsInTime(
  pool: Pool,
  request: RelayedRequest,
  { endsBy, at }: { readonly endsBy: number; readonly at: Moment },
): boolean {
  const { demand, events, firstEventAt } = request;
  if (events === 0 || firstEventAt === null) {
    return false;
  }
  const tokensPerEvent = pool.service.engines?.tokensPerEvent ?? 1;
  const moreEvents = demand.maxTokens / tokensPerEvent - events;
  if (moreEvents <= 0 || endsBy <= at.monotonic) {
    return false;
  }
  // After a resumption, only a part of the events came since the first one.
  const periodMs = Math.max(
    eventPeriodMs,
    (at.monotonic - firstEventAt) / events,
  );
  return at.monotonic + moreEvents * periodMs <= endsBy;
}

/**
 * Asks the preferred targets for their reports, where loads are not known
 * otherwise. A target without room costs the move a call and its turn.
 */
function askTargets(
  state: RelayState,
  pool: Pool,
  { move, at }: { readonly move: ScheduledMove; readonly at: Moment },
): readonly RelayEffect[] {
  return usesReports(state, pool)
    ? requestReports(state, move.targets.slice(0, askedTargets), at)
    : [];
}

function recordTurn(
  state: RelayState,
  request: RelayedRequest,
  { reason, startMs, leavesMs, runs, move, at }: {
    readonly reason: string;
    readonly startMs: number;
    readonly leavesMs: number;
    readonly runs: readonly RunningGeneration[];
    readonly move: ScheduledMove | undefined;
    readonly at: Moment;
  },
): RelayEffect {
  const { requestId: subject, upstream, events } = request;
  const figures = {
    upstream,
    to: move?.targets[0] ?? "",
    events,
    startMs: Math.round(startMs),
    leavesMs: Math.round(leavesMs),
    runs: runs.length,
  };
  return recordDecision(
    state,
    { kind: "choose", subject, reason, figures },
    at,
  );
}
