import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import { reportWaitMs } from "@lavenderferry/policy";
import { markDraining } from "../fleet/source_part.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { EngineReported } from "../relay_event.ts";
import { decidePlacement, releaseBacklogs } from "../requests/place_request.ts";
import type { RelayState } from "../state.ts";
import { count } from "../util/effects.ts";

/**
 * Age of the figures of a report. Engines renew them every few hundred
 * milliseconds. If they are younger than this, generations that were sent in the
 * meantime are counted twice, which leaves room; if they are older, some are not
 * counted at all.
 */
const figureAgeMs = 500;

/** Applies the reports of engines and places the requests that wait for them. */
export const reportPart: EventHandlers<
  RelayState,
  EngineReported,
  RelayEffect
> = {
  engine_reported: receiveReport,
};

function receiveReport(
  state: RelayState,
  { upstream, askedAt, report, at }: Timed<EngineReported>,
): readonly RelayEffect[] {
  const { engineReports, upstreams } = state;
  const vm = upstreams.get(upstream);
  if (vm === undefined) {
    engineReports.record(upstream, null);
    return placeComplete(state, upstream, at);
  }
  const load = report.load ?? null;
  engineReports.record(upstream, load === null ? null : { load, askedAt });
  if (load !== null) {
    // The engine measured before it was asked.
    const measuredAt = askedAt.wall - figureAgeMs;
    const reporting = state.pools.get(vm.pool ?? "")?.reporting;
    reporting?.engineReported(upstream, load, { measuredAt, at });
  }
  const isLate = at.monotonic - askedAt.monotonic > reportWaitMs;
  const leavingEffects = report.isLeaving === true
    ? markDraining(state, upstream, at)
    : [];
  const outcome = load === null ? "none" : isLate ? "late" : "in_time";
  return [
    count("reports", outcome),
    ...leavingEffects,
    ...placeComplete(state, upstream, at),
    ...load === null ? [] : releaseBacklogs(state, at),
  ];
}

/** Places the requests for which an engine was the last to report. */
function placeComplete(
  state: RelayState,
  upstream: string,
  at: Moment,
): readonly RelayEffect[] {
  const { engineReports, pendingPlacements } = state;
  const effects: RelayEffect[] = [];
  for (const [exchangeId, { engines }] of [...pendingPlacements]) {
    const isAwaiting = engines.some((id) =>
      engineReports.awaitedUntil(id, at) > at.monotonic
    );
    if (engines.includes(upstream) && !isAwaiting) {
      effects.push(...placePending(state, exchangeId, at));
    }
  }
  return effects;
}

/** Places a request that has waited for reports, unless it has ended. */
function placePending(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const pending = state.pendingPlacements.get(exchangeId);
  const request = state.requests.get(exchangeId);
  if (pending === undefined) {
    return [];
  }
  state.pendingPlacements.delete(exchangeId);
  return request?.phase === "waiting"
    ? decidePlacement(state, request, { engines: pending.engines, at })
    : [];
}

/**
 * Places a request whose reports have not all arrived in time. `dueAt` is that of
 * the timer: the request may wait for other reports by now.
 */
export function placeOverdue(
  state: RelayState,
  exchangeId: string,
  { dueAt, at }: { readonly dueAt: number; readonly at: Moment },
): readonly RelayEffect[] {
  return state.pendingPlacements.get(exchangeId)?.deadline === dueAt
    ? placePending(state, exchangeId, at)
    : [];
}
