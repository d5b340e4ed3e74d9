import { markReasons } from "@lavenderferry/fleet";
import type { Moment } from "@lavenderferry/runtime";
import { recordEarlyEnd } from "../quarantine/quarantine_part.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { KnownUpstream, RelayState } from "../state.ts";

/**
 * Forgets an upstream that is no longer listed, unless a request uses it.
 * Announces that to peers, which may retain it after an outage, unless one of
 * them has done so.
 */
export function removeUpstream(
  state: RelayState,
  upstream: KnownUpstream,
  at: Moment,
): readonly RelayEffect[] {
  const { id, listedIn, isRemoved } = upstream;
  const isAnnounced = (state.fleet.marks.get(id)?.version ?? 0) > listedIn;
  if (!isRemoved && !isAnnounced) {
    const { upstreamsVersion: version } = state;
    state.fleet.mark(id, { reason: markReasons.gone, version, at });
  }
  const effects = recordEarlyEnd(state, id, at);
  if (!isUsed(state, id)) {
    state.upstreams = new Map(
      [...state.upstreams].filter(([known]) => known !== id),
    );
    state.closeReasons.delete(id);
    state.closeEffects.forget(id);
  }
  return effects;
}

function isUsed(state: RelayState, id: string): boolean {
  for (
    const { upstream, copyUpstream, move } of state.requests.values()
  ) {
    if (upstream === id || copyUpstream === id || move?.to === id) {
      return true;
    }
  }
  return false;
}
