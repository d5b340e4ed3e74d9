import type { PlatformLimits } from "@lavenderferry/platform";

/**
 * Time-out of an operation of the store, which answers in 4 ms, or within a
 * quarter of a second when it is slow.
 */
const timeoutMs = 1_200;

/**
 * Longest time without a probe while the store is down, as a share of the time
 * within which changes must be known: a try that was sent before the store is
 * back, this pause and the next try together take somewhat longer.
 */
const probePauseShare = 0.4;

/**
 * Returns the limits of the store's client in a process that must know of changes
 * within `freshnessMs`.
 */
export function storeLimitsOf(
  freshnessMs: number,
): Required<Pick<PlatformLimits, "timeoutMs" | "maxOpenMs">> {
  return { timeoutMs, maxOpenMs: probePauseShare * freshnessMs };
}
