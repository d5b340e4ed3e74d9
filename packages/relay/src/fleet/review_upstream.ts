import type { Moment } from "@lavenderferry/runtime";
import { beginDeparture } from "../moves/departure.ts";
import { countCopy } from "../moves/rescue_counts.ts";
import { releaseCopy } from "../moves/reserve_memory.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayState } from "../state.ts";
import { closeUpstream } from "../state.ts";
import { isDeparture } from "../upstreams/evacuations.ts";
import { openUpstream } from "./open_upstream.ts";
import { recordState } from "./source_decisions.ts";
import { findCloseReason } from "./upstream_closure.ts";

/**
 * Closes or opens an upstream as the store's list, the marks of peers and the
 * evacuations say. An upstream that is not listed here yet is reviewed when it
 * is. One that is closed by an evacuation departs once it gives notice.
 */
export function reviewUpstream(
  state: RelayState,
  id: string,
  at: Moment,
): readonly RelayEffect[] {
  const upstream = state.upstreams.get(id);
  if (upstream === undefined) {
    return [];
  }
  const { closeReasons } = state;
  const reason = findCloseReason(state, upstream, at);
  const former = closeReasons.get(id);
  if (reason === null) {
    closeReasons.delete(id);
    openUpstream(state, upstream, at);
    return former === undefined
      ? []
      : [recordState(state, id, { reason: "opened", at })];
  }
  closeReasons.set(id, reason);
  const departs = isDeparture(reason) && !isDeparture(former);
  if (former !== undefined && !departs) {
    return [];
  }
  const copyEffects = former === undefined ? closeInPools(state, id, at) : [];
  return [
    recordState(state, id, { reason: "closed", cause: reason, at }),
    ...copyEffects,
    ...departs ? departFrom(state, id, at) : [],
  ];
}

/** Stops sending new requests and copies to an upstream. */
function closeInPools(
  state: RelayState,
  id: string,
  at: Moment,
): readonly RelayEffect[] {
  const effects: RelayEffect[] = [];
  for (const pool of state.pools.values()) {
    closeUpstream(pool, id);
  }
  for (const request of state.requests.values()) {
    if (request.copyUpstream === id) {
      releaseCopy(state, request, at);
      effects.push(countCopy("engine_left"));
    }
  }
  return effects;
}

/** Begins to take the generations off an upstream. */
function departFrom(
  { fleet, pools, requests, upstreams }: RelayState,
  id: string,
  at: Moment,
): readonly RelayEffect[] {
  const service = upstreams.get(id)?.pool ?? "";
  pools.get(service)?.leaveRate.recordLeave();
  const isScheduled = !fleet.exchangesWithAll;
  return [...requests.values()]
    .filter(({ upstream, phase }) => upstream === id && phase !== "waiting")
    .map((request) => beginDeparture(request, at, { isScheduled }));
}
