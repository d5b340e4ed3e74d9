import type { RelayState } from "../state.ts";

/**
 * Whether callers that can choose a process should choose this one. A stopping
 * process is not ready, but still accepts requests.
 */
export function isReady(state: RelayState): boolean {
  return state.routeTable !== null && state.upstreamsKnown && !state.stopping;
}
