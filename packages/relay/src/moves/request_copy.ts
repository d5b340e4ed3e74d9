import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { Move, RelayedRequest } from "../requests/relayed_request.ts";
import { stopRequested } from "../requests/stop_state.ts";
import type { RelayState } from "../state.ts";

/**
 * Milliseconds from the termination notice within which memory may be copied
 * again while the generation runs. Tokens generated since the last copy are
 * copied after the generation stops, while the caller waits.
 */
const copyAgainWindowMs = 600;

/** Limit on copies made of a generation's memory while it keeps running. */
const maxCopiesWhileRunning = 2;

/**
 * Duration in milliseconds up to which a copy leaves little to copy again:
 * about ten tokens are generated in 100 ms, and a network link carries them in
 * 1 ms.
 */
const quickCopyMs = 400;

/**
 * Creates the effect that copies, or stops, a generation that is moved. From then
 * on its stream may end by the stop.
 */
export function requestCopy(
  state: RelayState,
  request: RelayedRequest,
  { to, phase }: Move,
): RelayEffect {
  const { attemptId, exchangeId, requestId, upstream } = request;
  const stop = phase === "stopping";
  if (stop) {
    request.stop = stopRequested(request.stop);
  }
  return {
    kind: "copy_generation",
    attemptId,
    exchangeId,
    requestId,
    from: state.upstreams.get(upstream)?.address ?? "",
    to: state.upstreams.get(to)?.address ?? "",
    stop,
  };
}

/**
 * Requests the next copy of a generation's memory. It stops the generation if
 * little is left to copy or the limits of copies or time are reached.
 */
export function copyAgain(
  state: RelayState,
  request: RelayedRequest,
  { move, at }: { readonly move: Move; readonly at: Moment },
): readonly RelayEffect[] {
  const now = at.monotonic;
  const copyMs = now - move.copyRequestedAt;
  const stop = copyMs <= quickCopyMs ||
    move.copyCount >= maxCopiesWhileRunning ||
    now - request.terminationNoticeAt >= copyAgainWindowMs ||
    (request.departure?.leavesAt ?? Infinity) - now <= 2 * copyMs;
  const next: Move = {
    ...move,
    phase: stop ? "stopping" : "copying",
    copyRequestedAt: at.monotonic,
    copyCount: move.copyCount + 1,
  };
  request.move = next;
  return [requestCopy(state, request, next)];
}
