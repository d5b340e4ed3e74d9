import type { EvacuationList } from "@lavenderferry/fleet";
import { versionInEra } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import { releaseBacklogs } from "../requests/place_request.ts";
import type { RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";
import { reviewUpstream } from "./review_upstream.ts";

/**
 * Applies the evacuations that were read from the store at `askedAt`, in
 * monotonic milliseconds, where the settings ask for them.
 */
export function readEvacuations(
  state: RelayState,
  list: EvacuationList | undefined,
  { askedAt, at }: { readonly askedAt: number; readonly at: Moment },
): readonly RelayEffect[] {
  const { fleet, settings } = state;
  if (settings.evacuationBoundMs === null || list === undefined) {
    return [];
  }
  return fleet.readEvacuations(list, askedAt)
    ? applyEvacuations(state, at)
    : [];
}

/**
 * Closes the upstreams of the data centres under evacuation and opens those of
 * the others, after the list has changed here or at a peer.
 */
export function applyEvacuations(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const { evacuations } = state.fleet;
  const former = state.evacuated;
  const current = evacuations.dataCentres;
  state.evacuated = current;
  const record = (reason: "ordered" | "lifted") => (dataCentre: string) =>
    recordDecision(state, {
      kind: "configure",
      subject: "evacuation",
      reason,
      figures: {
        dataCentre,
        version: versionInEra(evacuations.version),
        upstreams: countUpstreams(state, dataCentre),
      },
    }, at);
  return [
    ...[...current].filter((name) => !former.has(name)).map(record("ordered")),
    ...[...former].filter((name) => !current.has(name)).map(record("lifted")),
    ...[...state.upstreams.keys()].flatMap((id) =>
      reviewUpstream(state, id, at)
    ),
    ...releaseBacklogs(state, at),
  ];
}

function countUpstreams(
  { upstreams }: RelayState,
  dataCentre: string,
): number {
  return [...upstreams.values()]
    .filter((upstream) => upstream.dataCentre === dataCentre).length;
}
