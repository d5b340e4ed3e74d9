import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayedRequest } from "../requests/relayed_request.ts";

/**
 * Milliseconds from the termination notice of an engine until a generation is
 * resumed from its copy. Short generations finish in that time.
 */
const resumeDelayMs = 300;

/**
 * Milliseconds from the first event of a generation until its copy is assumed
 * to be complete. A prompt of 5,000 tokens takes half a second between two
 * data centres, and the copies of generations that left an engine together
 * queue on its network link.
 */
const copyCompletionMs = 2_500;

/**
 * Longest wait for an incomplete copy, in milliseconds from the termination
 * notice. Engines keep running for one and a half seconds after the notice; a
 * move needs the remainder.
 */
const maxCopyWaitMs = 1_000;

/**
 * Schedules the departure of a generation whose engine is leaving. Waits for
 * the copy of its memory where that can be complete in time, unless the moves of
 * its engine follow a schedule, in which the wait would use up its turn.
 */
export function beginDeparture(
  request: RelayedRequest,
  at: Moment,
  { isScheduled = false }: { readonly isScheduled?: boolean } = {},
): RelayEffect {
  const { copyUpstream, exchangeId, firstEventAt } = request;
  const now = at.monotonic;
  request.terminationNoticeAt = now;
  request.moveAllowedAt = null;
  request.departure = null;
  const completeAt = (firstEventAt ?? Infinity) + copyCompletionMs;
  const maxWaitMs = isScheduled ? 0 : maxCopyWaitMs;
  const dueAt = copyUpstream === null || completeAt > now + maxWaitMs
    ? now
    : Math.max(now + resumeDelayMs, completeAt);
  return scheduleDeparture(exchangeId, dueAt);
}

/** Whether enough time has passed for a generation's copy to be complete. */
export function hasCompleteCopy(
  { copyUpstream, firstEventAt }: RelayedRequest,
  at: Moment,
): boolean {
  return copyUpstream !== null && firstEventAt !== null &&
    firstEventAt + copyCompletionMs <= at.monotonic;
}

/** Creates the timer that takes a generation off its engine. */
export function scheduleDeparture(
  exchangeId: string,
  dueAt: number,
): RelayEffect {
  const timer = { kind: "depart", exchangeId } as const;
  return { kind: "set_timer", timer, at: dueAt };
}
