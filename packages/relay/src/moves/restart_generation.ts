import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import {
  endAttempt,
  maxSends,
  placeRequest,
} from "../requests/place_request.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";
import { count, recordDecision } from "../util/effects.ts";
import { lastChanceMs } from "./departure_schedule.ts";
import { countMove } from "./rescue_counts.ts";

/**
 * Whether a generation without an event is stopped and copied, as its engine is
 * about to leave. Before that, its first event may still come.
 */
export function mustStopUnstarted(
  { departure, events, phase }: RelayedRequest,
  at: Moment,
): boolean {
  return events === 0 && phase === "sent" && departure !== null &&
    departure.leavesAt - at.monotonic <= lastChanceMs;
}

/**
 * Places a stopped generation anew that no engine has room for. Returns `null`
 * unless its engine states that it has generated nothing: a closed connection
 * does not prove it, and a request of a streaming route may not run twice.
 */
export function restartStopped(
  state: RelayState,
  request: RelayedRequest,
  { events, at }: {
    /** Events that the engine has generated; `undefined`: unknown. */
    readonly events: number | undefined;
    readonly at: Moment;
  },
): readonly RelayEffect[] | null {
  const { requestId: subject, upstream, phase, sends, demand } = request;
  const pool = state.pools.get(request.service);
  if (
    events !== 0 || request.events !== 0 || phase !== "sent" ||
    sends >= maxSends || at.monotonic >= request.deadline ||
    pool?.retryBudget.tryWithdraw() !== true
  ) {
    return null;
  }
  const endEffects = endAttempt(state, request, { outcome: "cancelled", at });
  // Its engine has worked on it, so a refusal must not say that it has not run.
  request.runs += 1;
  request.phase = "waiting";
  request.resumption = null;
  request.demand = {
    ...demand,
    excludedEngines: [...(demand.excludedEngines ?? []), upstream],
  };
  const reason = "restarted";
  const figures = { upstream, sends, runs: request.runs };
  return [
    recordDecision(state, { kind: "retry", subject, reason, figures }, at),
    count("retries", reason),
    countMove("restarted"),
    ...endEffects,
    ...placeRequest(state, request, at),
  ];
}
