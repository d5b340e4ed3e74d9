import type { ErrorKind } from "@lavenderferry/errors";
import type { Moment, Timed } from "@lavenderferry/runtime";
import { startRead } from "../fleet/store_reads.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { RequestReceived } from "../relay_event.ts";
import type { RelayState } from "../state.ts";
import { recordDecision, sendFailure } from "../util/effects.ts";

/** A request that the routing in force does not allow but a newer one might. */
export interface UnconfirmedRequest {
  readonly event: RequestReceived;
  /** Monotonic milliseconds until which the routing may be confirmed. */
  readonly deadline: number;
}

/** Why a request is refused, and what it was decided from. */
export interface RoutingRefusal {
  readonly error: Extract<ErrorKind, "not_found" | "unauthenticated">;
  readonly figures: Readonly<Record<string, string | number>>;
}

/**
 * Time in which the routing is confirmed before a request is refused by it, as a
 * share of the time within which changes must be known.
 */
const confirmShare = 0.25;

/** Retry delay for callers whose routing could not be confirmed. */
const unconfirmedRetryMs = 500;

/** Relative jitter of retry delays, so that callers do not retry together. */
const retryJitterShare = 0.5;

/** Milliseconds since the routing was known to be the newest; -1 if never. */
export function routingAgeMs({ fleet }: RelayState, at: Moment): number {
  const { configurationConfirmedAt: confirmedAt } = fleet;
  return confirmedAt === -Infinity
    ? -1
    : Math.round(at.monotonic - confirmedAt);
}

/** Whether the routing is known to be as new as it must be. */
export function isRoutingConfirmed(
  { fleet, settings }: RelayState,
  at: Moment,
): boolean {
  return at.monotonic - fleet.configurationConfirmedAt <= settings.freshnessMs;
}

/**
 * Refuses a request that the routing does not allow. Where the routing is too old
 * to tell, it is read first, and the request waits for that.
 */
export function refuseByRouting(
  state: RelayState,
  event: Timed<RequestReceived>,
  { error, figures }: RoutingRefusal,
): readonly RelayEffect[] {
  const { exchangeId, requestId, at } = event;
  if (!isRoutingConfirmed(state, at)) {
    return confirmFirst(state, event);
  }
  return [
    recordDecision(
      state,
      { kind: "refuse", subject: requestId, reason: error, figures },
      at,
    ),
    ...sendFailure(exchangeId, { error, notRun: true }),
  ];
}

function confirmFirst(
  state: RelayState,
  event: Timed<RequestReceived>,
): readonly RelayEffect[] {
  const { reads, settings, unconfirmedRequests } = state;
  const { exchangeId, at } = event;
  const deadline = at.monotonic + confirmShare * settings.freshnessMs;
  unconfirmedRequests.set(exchangeId, { event, deadline });
  const timer = { kind: "refuse_unconfirmed", exchangeId } as const;
  return [
    { kind: "set_timer", timer, at: deadline },
    ...reads.routing.dueAt === Infinity
      ? []
      : [startRead(state, "routing", at)],
  ];
}

/** Refuses a request for which the routing was not confirmed in time. */
export function refuseUnconfirmed(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const request = state.unconfirmedRequests.get(exchangeId);
  if (request === undefined) {
    return [];
  }
  state.unconfirmedRequests.delete(exchangeId);
  return [
    recordDecision(state, {
      kind: "refuse",
      subject: request.event.requestId,
      reason: "routing_unconfirmed",
      figures: {
        version: state.routeTable?.routing.version ?? 0,
        ageMs: routingAgeMs(state, at),
      },
    }, at),
    ...sendFailure(exchangeId, {
      error: "not_ready",
      notRun: true,
      retryAfterMs: state.random.jitter(unconfirmedRetryMs, retryJitterShare),
    }),
  ];
}

/** Refuses all requests that wait for the routing, which could not be read. */
export function refuseAllUnconfirmed(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  return [...state.unconfirmedRequests.keys()]
    .flatMap((exchangeId) => refuseUnconfirmed(state, exchangeId, at));
}

/** Takes the requests that wait for the routing, once it is confirmed. */
export function takeConfirmed(
  state: RelayState,
  at: Moment,
): readonly RequestReceived[] {
  const { unconfirmedRequests } = state;
  if (unconfirmedRequests.size === 0 || !isRoutingConfirmed(state, at)) {
    return [];
  }
  const events = [...unconfirmedRequests.values()].map(({ event }) => event);
  unconfirmedRequests.clear();
  return events;
}
