import type { EventHandlers, Moment } from "@lavenderferry/runtime";
import { reviewUpstream } from "../fleet/review_upstream.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { RefusalReason, UpstreamConnected } from "../relay_event.ts";
import {
  endAttempt,
  failRequest,
  placeRequest,
  refuseRequest,
  releaseBacklogs,
} from "../requests/place_request.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { KnownUpstream, RelayState } from "../state.ts";
import { isEvacuated } from "../upstreams/evacuations.ts";
import { count, recordDecision } from "../util/effects.ts";
import { forwardRequest } from "./forward_request.ts";

/** Milliseconds between two checks whether upstreams are in reach again. */
const probePeriodMs = 400;

/** Upstreams that each of these checks tries at once. */
const probedUpstreams = 4;

/**
 * Milliseconds for which a peer that refused is avoided, if it does not say, and
 * at most; also for one that was unreachable.
 */
const avoidPeerMs = 500;
const maxAvoidPeerMs = 5_000;
const avoidUnreachablePeerMs = 2_000;

/** Retry delay for callers whose request no peer took, in milliseconds. */
const noPeerRetryMs = 400;

/** Relative jitter of retry delays, so that callers do not retry together. */
const retryJitterShare = 0.5;

/** Handles new connections to upstreams. */
export const forwardingPart: EventHandlers<
  RelayState,
  UpstreamConnected,
  RelayEffect
> = {
  upstream_connected: (state, { upstream, at }) =>
    recordReached(state, upstream, at),
};

/**
 * Records that an upstream accepted a connection. The next list opens the others
 * that were closed as they could not be reached.
 */
export function recordReached(
  state: RelayState,
  upstream: string,
  at: Moment,
): readonly RelayEffect[] {
  if (!state.reachability.recordReached()) {
    return [];
  }
  const effects = reviewUpstream(state, upstream, at);
  return [
    recordDecision(state, {
      kind: "member",
      subject: state.settings.vm,
      reason: "reconnected",
      figures: { upstream },
    }, at),
    ...effects,
    ...releaseBacklogs(state, at),
  ];
}

/**
 * Records that an upstream could not be reached, and tries others. If that shows
 * that this process reaches none, forwards the requests that wait.
 */
export function recordUnreached(
  state: RelayState,
  upstream: string,
  at: Moment,
): readonly RelayEffect[] {
  const { reachability } = state;
  const liveIds = new Set(usableUpstreams(state).map(({ id }) => id));
  if (!liveIds.has(upstream)) {
    return [];
  }
  const probeEffects = startProbes(state, upstream, at);
  if (!reachability.recordUnreached(upstream, liveIds)) {
    return probeEffects;
  }
  const effects = [...state.requests.values()]
    .filter(({ phase }) => phase === "waiting")
    .flatMap((request) => forwardWaiting(state, request, at));
  return [
    recordDecision(state, {
      kind: "member",
      subject: state.settings.vm,
      reason: "isolated",
      figures: { unreached: state.reachability.unreachedCount },
    }, at),
    ...effects,
    ...probeEffects,
  ];
}

/** Tries upstreams until one of them is reached, unless that is under way. */
function startProbes(
  state: RelayState,
  unreached: string,
  at: Moment,
): readonly RelayEffect[] {
  if (state.probing) {
    return [];
  }
  state.probing = true;
  return [...probeUpstreams(state, unreached), scheduleProbe(at)];
}

/** Tries upstreams again if none has been reached. Called by a timer. */
export function continueProbes(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  state.probing = state.reachability.unreachedCount > 0;
  return state.probing ? [...probeUpstreams(state), scheduleProbe(at)] : [];
}

/** Connects to some live upstreams, first to those that were not tried. */
function probeUpstreams(
  state: RelayState,
  exceptId = "",
): readonly RelayEffect[] {
  const { reachability, earlyLosses, random } = state;
  const live = usableUpstreams(state).filter(({ id }) =>
    id !== exceptId && !earlyLosses.isPending(id)
  );
  const untried = live.filter(({ id }) => !reachability.isUnreached(id));
  const candidates = untried.length > 0 ? untried : live;
  const first = random.integerBelow(Math.max(1, candidates.length));
  return [...candidates.slice(first), ...candidates.slice(0, first)]
    .slice(0, probedUpstreams)
    .map(({ id, address }) => ({
      kind: "check_engine",
      upstream: id,
      address,
    }));
}

/** Returns the upstreams that are live and not under evacuation. */
function usableUpstreams(state: RelayState): readonly KnownUpstream[] {
  return [...state.upstreams.values()].filter((upstream) =>
    upstream.state === "live" && !isEvacuated(state, upstream.id)
  );
}

function scheduleProbe(at: Moment): RelayEffect {
  const timer = { kind: "probe_upstreams" } as const;
  return { kind: "set_timer", timer, at: at.monotonic + probePeriodMs };
}

/** Offers a request that a peer did not run to another one, or refuses it. */
export function handleRefusedPeer(
  state: RelayState,
  request: RelayedRequest,
  { reason, retryAfterMs = avoidPeerMs, at }: {
    readonly reason: RefusalReason;
    readonly retryAfterMs?: number;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { upstream: peer, requestId, peers } = request;
  endAttempt(state, request, { outcome: "refused", at });
  const avoidMs = reason === "unreachable"
    ? avoidUnreachablePeerMs
    : Math.min(maxAvoidPeerMs, retryAfterMs);
  state.avoidedPeers.set(peer, at.monotonic + avoidMs);
  request.phase = "waiting";
  const decision = {
    subject: requestId,
    reason,
    figures: { upstream: peer, peers: peers.length },
  };
  const next = state.reachability.isIsolated
    ? forwardRequest(state, request, at)
    : placeRequest(state, request, at);
  if (next !== null) {
    return [
      recordDecision(state, { ...decision, kind: "retry" }, at),
      count("retries", reason),
      ...next,
    ];
  }
  state.requests.delete(request.exchangeId);
  const callerRetryMs = state.random.jitter(noPeerRetryMs, retryJitterShare);
  return [
    recordDecision(state, { ...decision, kind: "drop" }, at),
    ...refuseRequest(request, "upstream_refused", callerRetryMs),
  ];
}

/** Ends a request that a peer may have run. */
export function handleFailedPeer(
  state: RelayState,
  request: RelayedRequest,
  { reason, at }: { readonly reason: string; readonly at: Moment },
): readonly RelayEffect[] {
  const { upstream, requestId, events } = request;
  const effects = endAttempt(state, request, { outcome: "failed", at });
  state.requests.delete(request.exchangeId);
  return [
    recordDecision(state, {
      kind: "drop",
      subject: requestId,
      reason,
      figures: { upstream, events },
    }, at),
    ...effects,
    ...failRequest(request, { error: "upstream_lost", notRun: "unknown" }),
  ];
}

function forwardWaiting(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const effects = forwardRequest(state, request, at);
  if (effects === null) {
    return [];
  }
  const dispatcher = state.pools.get(request.service)?.dispatcher;
  dispatcher?.withdraw(request.demand.requestId);
  return effects;
}
