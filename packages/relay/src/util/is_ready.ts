import type { RelayState } from "../state.ts";
import { mayPlaceRequests } from "../upstreams/evacuations.ts";

/**
 * Whether callers that can choose a process should choose this one. A stopping
 * process is not ready, but still accepts requests.
 */
export function isReady(state: RelayState): boolean {
  return state.routeTable !== null && state.upstreamsKnown &&
    mayPlaceRequests(state) && !state.stopping;
}
