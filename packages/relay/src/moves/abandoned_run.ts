import type { Moment } from "@lavenderferry/runtime";
import { isAtPeer } from "../forwarding/forward_request.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import { hasRunEnded } from "../requests/stop_state.ts";
import type { KnownUpstream, RelayState } from "../state.ts";
import { isEvacuated } from "../upstreams/evacuations.ts";
import { isSilent } from "./silence.ts";

/**
 * A run that nobody reads any more. Its connection is closed, but not all engines
 * end a run for that.
 */
export interface AbandonedRun {
  readonly requestId: string;
  /** Id of the upstream that may go on with it. */
  readonly upstream: string;
  /** Address of that upstream. */
  readonly from: string;
  /** Address of an engine that may receive its memory for the moment. */
  readonly to: string;
  /** Whether events of the run have arrived. */
  readonly hasBegun: boolean;
  /** Monotonic milliseconds at which its engine ends it in any case. */
  readonly deadline: number;
  /** Calls to stop it so far. */
  readonly calls: number;
}

/**
 * Limit on runs whose stops are awaited. It bounds what is kept of requests that
 * have ended, and the calls to engines that do not answer.
 */
export const maxAbandonedRuns = 512;

/** Key of a run in the state; a request may have left runs at several engines. */
export function abandonedRunKey(from: string, requestId: string): string {
  return `${from} ${requestId}`;
}

/** Creates the effect that asks the engine of an abandoned run to stop it. */
export function requestStop(
  { requestId, from, to }: AbandonedRun,
): RelayEffect {
  return { kind: "stop_generation", requestId, from, to };
}

/**
 * Asks the engine of an attempt that is given up to stop its run, over a new
 * connection and beside whatever the request goes on with, unless it is known to
 * have ended. Where no one goes on with the request, an engine that was seen to end
 * runs with their connections is not asked.
 */
export function stopAbandonedRun(
  state: RelayState,
  request: RelayedRequest,
  { resumesAt, at }: {
    /** Id of the upstream at which the request goes on; `null`: nowhere. */
    readonly resumesAt: string | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { requestId, service, upstream, deadline, stop } = request;
  const source = state.upstreams.get(upstream);
  const movesGenerations =
    state.pools.get(service)?.service.engines?.moves === true;
  if (
    source === undefined || !movesGenerations || isAtPeer(request) ||
    request.isStopped || hasRunEnded(stop) || at.monotonic >= deadline ||
    state.abandonedRuns.size >= maxAbandonedRuns
  ) {
    return [];
  }
  const endsWithConnection = resumesAt === null && !isSilent(request, at) &&
    state.closeEffects.endsRuns(upstream);
  const target = chooseStopTarget(state, request, resumesAt);
  if (endsWithConnection || target === undefined) {
    return [];
  }
  const run: AbandonedRun = {
    requestId,
    upstream,
    from: source.address,
    to: target.address,
    hasBegun: request.firstEventAt !== null,
    deadline,
    calls: 1,
  };
  state.abandonedRuns.set(abandonedRunKey(run.from, requestId), run);
  return [requestStop(run)];
}

/**
 * Returns the engine that a stopped run's memory is sent to, until it is freed: the
 * one that has most of it, else one nearby, but preferably not the one that goes on
 * with the same request.
 */
function chooseStopTarget(
  state: RelayState,
  { copyUpstream, upstream, service }: RelayedRequest,
  resumesAt: string | null,
): KnownUpstream | undefined {
  const { upstreams } = state;
  const copy = upstreams.get(copyUpstream ?? "");
  if (copy !== undefined && copy.id !== resumesAt) {
    return copy;
  }
  const dataCentre = upstreams.get(upstream)?.dataCentre;
  let target = upstreams.get(resumesAt ?? "");
  for (const vm of upstreams.values()) {
    if (
      vm.id !== upstream && vm.id !== resumesAt && vm.pool === service &&
      vm.state === "live" && !isEvacuated(state, vm.id)
    ) {
      target = vm;
      if (vm.dataCentre === dataCentre) {
        break;
      }
    }
  }
  return target;
}
