import type { RelayState } from "../state.ts";

/** Whether the process takes requests from callers that have a choice. */
export function isReady(state: RelayState): boolean {
  return state.routes !== null && state.upstreamsKnown && !state.stopping;
}
