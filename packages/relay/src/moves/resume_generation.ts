import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect, Resumption } from "../relay_effect.ts";
import type { EngineReport } from "../relay_event.ts";
import { endAttempt, startAttempt } from "../requests/place_request.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";
import { isOverColdLimit } from "../upstreams/cold_upstreams.ts";
import { isDeparture } from "../upstreams/evacuations.ts";
import { count, recordDecision } from "../util/effects.ts";
import { beginDeparture } from "./departure.ts";
import { countCopy, countMove } from "./rescue_counts.ts";
import { deferResumption } from "./stopped_generation.ts";

/**
 * Resumes a generation at the engine that keeps a copy of its memory, or
 * returns `null` if there is no copy. The connection of the previous attempt
 * is closed first, and its engine is asked to stop generating.
 */
export function resumeFromCopy(
  state: RelayState,
  request: RelayedRequest,
  { reason, report = null, at }: {
    readonly reason: string;
    /** Report of the engine with the copy; `null`: it was not asked. */
    readonly report?: EngineReport | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] | null {
  const { copyUpstream, lastEventId, requestId } = request;
  const vm = copyUpstream === null
    ? undefined
    : state.upstreams.get(copyUpstream);
  if (copyUpstream === null || vm === undefined) {
    return null;
  }
  const resumption = { address: vm.address, handle: requestId, lastEventId };
  const outcome = reason === "leaving" ? "cancelled" : "failed";
  return [
    countCopy("used"),
    ...startResumption(state, request, {
      to: copyUpstream,
      resumption,
      reason,
      outcome,
      report,
      at,
    }),
  ];
}

function startResumption(
  state: RelayState,
  request: RelayedRequest,
  options: {
    readonly to: string;
    readonly resumption: Resumption;
    readonly reason: string;
    readonly outcome: "cancelled" | "failed";
    readonly report: EngineReport | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { to: upstream, resumption, reason, outcome, report, at } = options;
  const { upstream: from, events, requestId, lastEventId } = request;
  const ageMs = Math.round(at.monotonic - (request.firstEventAt ?? NaN));
  const endEffects = endAttempt(state, request, {
    outcome,
    resumesAt: upstream,
    at,
  });
  if (isOverColdLimit(state, upstream, at)) {
    return [
      ...endEffects,
      ...deferResumption(state, request, { upstream, resumption, at }),
    ];
  }
  const after = lastEventId ?? "";
  const figures = {
    from,
    upstream,
    events,
    after,
    ageMs,
    keptTokens: report?.keptTokens ?? -1,
    freeTokens: report?.freeTokens ?? -1,
  };
  return [
    recordDecision(state, {
      kind: "resume",
      subject: requestId,
      reason,
      figures,
    }, at),
    count("resumptions", reason),
    ...endEffects,
    ...startAttempt(state, request, { upstream, resumption, at }),
  ];
}

/** Resumes a generation whose memory its stopped engine keeps by a handle. */
export function resumeStopped(
  state: RelayState,
  request: RelayedRequest,
  { to, handle, reason, at }: {
    readonly to: string;
    readonly handle: string;
    readonly reason: string;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { lastEventId, upstream } = request;
  const address = state.upstreams.get(upstream)?.address ?? "";
  const resumption = { address, handle, lastEventId };
  const isScheduled = request.departure !== null;
  return [
    ...to === upstream ? [] : [countMove("saved")],
    ...startResumption(state, request, {
      to,
      resumption,
      reason,
      outcome: "cancelled",
      report: null,
      at,
    }),
    // It has got its notice during the move, when the generation was not there.
    ...to !== upstream && isScheduled && isDeparture(state.closeReasons.get(to))
      ? [beginDeparture(request, at)]
      : [],
  ];
}
