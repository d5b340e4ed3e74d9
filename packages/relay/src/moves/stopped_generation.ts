import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect, Resumption } from "../relay_effect.ts";
import {
  endAttempt,
  failRequest,
  releaseBacklogs,
  startAttempt,
} from "../requests/place_request.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import { scheduleResumption } from "../requests/resumption_retry.ts";
import type { RelayState } from "../state.ts";
import { nextId } from "../state.ts";
import {
  evacuatedReason,
  isDeparting,
  isEvacuated,
} from "../upstreams/evacuations.ts";
import { recordDecision } from "../util/effects.ts";
import { contextTokens } from "./reserve_memory.ts";
import { countMove } from "./rescue_counts.ts";

/** Engines compared when a stopped generation is resumed, as for a move. */
const resumptionCandidates = 8;

/**
 * Marks a request whose attempt has ended and whose resumption is tried later.
 * No engine runs it, so that it takes no part in a departure until then.
 */
export function markStopped(state: RelayState, request: RelayedRequest): void {
  request.isStopped = true;
  // What still arrives of the attempt that has ended is ignored.
  request.attemptId = nextId(state);
}

/**
 * Keeps a generation that was stopped for a move until an engine outside the
 * evacuation has room, as it may not go on where it ran. Its engine keeps the
 * memory by the handle.
 */
export function awaitResumption(
  state: RelayState,
  request: RelayedRequest,
  { handle, at }: { readonly handle: string; readonly at: Moment },
): readonly RelayEffect[] {
  const { upstream, lastEventId } = request;
  const address = state.upstreams.get(upstream)?.address ?? "";
  const effects = endAttempt(state, request, { outcome: "cancelled", at });
  request.resumption = { address, handle, lastEventId };
  markStopped(state, request);
  return [...effects, ...tryLater(state, request, at)];
}

/**
 * Keeps a generation whose chosen engine is cold and may not be sent a request
 * yet: it is resumed at another engine, or there when its turn comes. The current
 * attempt has ended.
 */
export function deferResumption(
  state: RelayState,
  request: RelayedRequest,
  { upstream, resumption, at }: {
    readonly upstream: string;
    readonly resumption: Resumption;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { demand, upstream: from } = request;
  request.demand = {
    ...demand,
    excludedEngines: [...(demand.excludedEngines ?? []), from],
  };
  request.upstream = upstream;
  request.resumption = resumption;
  markStopped(state, request);
  return resumeElsewhere(state, request, at);
}

/**
 * Resumes a stopped generation at another engine, as the one that was chosen is
 * under evacuation, or is cold and bears no more requests now.
 */
export function resumeElsewhere(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const { service, demand, upstream, resumption } = request;
  const pool = state.pools.get(service);
  const target = pool?.dispatcher.chooseTransferTarget({
    ...demand,
    promptTokens: contextTokens(pool, request),
    excludedEngines: [...(demand.excludedEngines ?? []), upstream],
  }, { maxCandidates: resumptionCandidates, at }) ?? null;
  if (target === null || !state.upstreams.has(target)) {
    return tryLater(state, request, at);
  }
  const figures = { from: upstream, upstream: target, events: request.events };
  return [
    recordDecision(state, {
      kind: "resume",
      subject: request.requestId,
      reason: reasonOf(state, upstream),
      figures,
    }, at),
    ...isDeparting(state, upstream) ? [countMove("saved")] : [],
    ...startAttempt(state, request, { upstream: target, resumption, at }),
  ];
}

/** Tries a resumption again later, or ends the request if there is no time. */
function tryLater(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const { requestId: subject, upstream, events } = request;
  const figures = {
    upstream,
    events,
    isEvacuated: isEvacuated(state, upstream),
  };
  const timer = scheduleResumption(request, { at });
  if (timer !== null) {
    const reason = "no_target";
    return [
      recordDecision(state, { kind: "retry", subject, reason, figures }, at),
      timer,
    ];
  }
  state.requests.delete(request.exchangeId);
  const reason = reasonOf(state, upstream);
  return [
    recordDecision(state, { kind: "drop", subject, reason, figures }, at),
    ...isDeparting(state, upstream) ? [countMove("lost_stopping")] : [],
    ...failRequest(request, { error: "generation_lost", notRun: false }),
    ...releaseBacklogs(state, at),
  ];
}

/** Returns why a generation does not go on at the engine that was chosen. */
function reasonOf(state: RelayState, upstream: string): string {
  return isEvacuated(state, upstream) ? evacuatedReason : "cold";
}
