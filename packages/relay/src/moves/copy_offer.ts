import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { Pool, RelayState } from "../state.ts";
import type { CopyOffer } from "./copy_value.ts";
import { eventPeriodMs } from "./departure_schedule.ts";
import { contextTokens } from "./reserve_memory.ts";

/** Generations with fewer events finish before a copy would be of use. */
export const minEventsToCopy = 40;

/**
 * Returns what a copy is worth for the rest of a generation, or `null` if it
 * ends before a copy would be of use.
 */
export function expectRemainder(
  { finalEvents }: RelayState,
  request: RelayedRequest,
  pool: Pool,
): CopyOffer | null {
  const tokensPerEvent = pool.service.engines?.tokensPerEvent ?? 1;
  const limitEvents = request.demand.maxTokens / tokensPerEvent;
  const expectedEvents = Math.min(
    limitEvents,
    finalEvents.get(request.service)?.expectedAfter(request.events) ??
      limitEvents,
  );
  const moreEvents = expectedEvents - request.events;
  const tokens = contextTokens(pool, request);
  return moreEvents < minEventsToCopy ? null : {
    leavesPerMs: pool.leaveRate.perMs,
    remainingMs: moreEvents * eventPeriodMs,
    lostTokens: tokens + moreEvents * tokensPerEvent / 2,
    copyTokens: tokens + moreEvents * tokensPerEvent,
  };
}
