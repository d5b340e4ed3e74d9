import type { RelayEffect } from "../relay_effect.ts";
import type { Move, RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";

/** Creates the effect that copies, or stops, a generation that is moved. */
export function requestCopy(
  state: RelayState,
  request: RelayedRequest,
  { to, phase }: Move,
): RelayEffect {
  const { attemptId, exchangeId, requestId, upstream } = request;
  return {
    kind: "copy_generation",
    attemptId,
    exchangeId,
    requestId,
    from: state.upstreams.get(upstream)?.address ?? "",
    to: state.upstreams.get(to)?.address ?? "",
    stop: phase === "stopping",
  };
}
