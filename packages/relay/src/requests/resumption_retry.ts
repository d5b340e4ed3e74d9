import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayedRequest } from "./relayed_request.ts";

/**
 * Delays in milliseconds before each retry of a refused resumption. Copies may
 * still arrive and memory may become free for some seconds, and a generation
 * that is not resumed is lost.
 */
const resumptionRetryDelaysMs = [100, 150, 250, 500, 1_000, 1_500];

/**
 * Creates the timer that tries a resumption again, or returns `null` if there is
 * no time for it. `notBefore` is in monotonic milliseconds.
 */
export function scheduleResumption(
  request: RelayedRequest,
  { notBefore = 0, at }: { readonly notBefore?: number; readonly at: Moment },
): RelayEffect | null {
  const retryDelayMs = resumptionRetryDelaysMs[request.refusedResumptions];
  request.refusedResumptions += 1;
  const dueAt = Math.max(at.monotonic + (retryDelayMs ?? Infinity), notBefore);
  if (dueAt >= request.deadline) {
    return null;
  }
  const { exchangeId } = request;
  const timer = { kind: "retry_resumption", exchangeId } as const;
  return { kind: "set_timer", timer, at: dueAt };
}
