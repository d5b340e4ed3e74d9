import type { Moment } from "@lavenderferry/runtime";
import type { RelayState } from "../state.ts";

/** Smallest difference between the clocks that is taken for a suspension. */
const minSuspensionMs = 250;

/** The latest time that the monotonic clock did not count. */
export interface Suspension {
  /** Monotonic milliseconds at which it was noticed. */
  readonly noticedAt: number;
  readonly lengthMs: number;
}

/**
 * Notices that the VM was suspended: the time of day went on, the monotonic
 * clock did not. A time of day that was set forward looks the same, and only lets
 * the process confirm what it knows.
 */
export function noticeSuspension(
  state: RelayState,
  { monotonic, wall }: Moment,
): void {
  const offset = wall - monotonic;
  const lengthMs = offset - (state.clockOffset ?? offset);
  state.clockOffset = offset;
  if (lengthMs >= minSuspensionMs) {
    state.suspension = { noticedAt: monotonic, lengthMs };
    state.fleet.addAge(lengthMs);
  }
}

/**
 * Returns a time at which the store was asked, less the suspension if that fell
 * between the question and its answer.
 */
export function withSuspension(
  { suspension }: RelayState,
  askedAt: number,
): number {
  return suspension === null || askedAt >= suspension.noticedAt
    ? askedAt
    : askedAt - suspension.lengthMs;
}
