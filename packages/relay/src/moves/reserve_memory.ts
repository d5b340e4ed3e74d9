import type { Moment } from "@lavenderferry/runtime";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { Pool, RelayState } from "../state.ts";

/** Reserves memory at an engine for a generation that runs elsewhere. */
export function reserveMemory(
  pool: Pool,
  request: RelayedRequest,
  { generationId, engine, at }: {
    readonly generationId: string;
    readonly engine: string;
    readonly at: Moment;
  },
): void {
  const { demand } = request;
  pool.dispatcher.sent(
    { generationId, engine, demand, holdsMemoryOnly: true },
    at,
  );
  pool.dispatcher.progressed(generationId, generatedTokens(pool, request), at);
}

/** Releases the memory reserved for the copy of a generation. */
export function releaseCopy(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): void {
  const dispatcher = state.pools.get(request.service)?.dispatcher;
  dispatcher?.ended(copyReservationId(request.attemptId), "cancelled", at);
  request.copyUpstream = null;
}

/**
 * Releases the memory reserved for the move of a generation. A copy that its
 * engine has already started is not cancelled.
 */
export function releaseMove(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): void {
  const dispatcher = state.pools.get(request.service)?.dispatcher;
  dispatcher?.ended(moveReservationId(request.attemptId), "cancelled", at);
  request.move = null;
}

/** Id under which the dispatcher tracks the copy of an attempt's memory. */
export function copyReservationId(attemptId: string): string {
  return `copy/${attemptId}`;
}

/** Id under which the dispatcher tracks the target memory of a move. */
export function moveReservationId(attemptId: string): string {
  return `move/${attemptId}`;
}

/** Estimates the generated tokens from the events forwarded to the caller. */
export function generatedTokens(
  pool: Pool,
  { events }: RelayedRequest,
): number {
  return events * (pool.service.engines?.tokensPerEvent ?? 1);
}

/** Estimates the tokens in key-value memory: the prompt and the answer. */
export function contextTokens(pool: Pool, request: RelayedRequest): number {
  return request.demand.promptTokens + generatedTokens(pool, request);
}
