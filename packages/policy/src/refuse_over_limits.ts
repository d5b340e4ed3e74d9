import type { Moment } from "@lavenderferry/runtime";
import type { Engine } from "./engine.ts";
import type { Refusal } from "./refusal.ts";
import { boundRetryAfterMs, refuse } from "./refusal.ts";
import type { RequestLimits } from "./request_limits.ts";

/**
 * Refuses a demand if all engines limit requests and none of them takes one
 * before the demand's latest start.
 */
export function refuseOverLimits(
  limits: RequestLimits,
  engines: readonly Engine[],
  { deadline, at }: {
    /** Latest start of the demand, in monotonic milliseconds. */
    readonly deadline: number;
    readonly at: Moment;
  },
): Refusal | null {
  const now = at.monotonic;
  const nextStartAt = limits.earliestStartAt(engines.map(({ id }) => id));
  if (nextStartAt <= Math.max(now, deadline)) {
    return null;
  }
  // Other processes may hold the shares.
  const waitMs = nextStartAt === Infinity ? 0 : nextStartAt - now;
  const retryAfterMs = boundRetryAfterMs(waitMs);
  return refuse("overloaded", "upstream_limit", { retryAfterMs });
}
