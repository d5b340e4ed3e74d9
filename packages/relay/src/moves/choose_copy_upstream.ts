import type { Moment } from "@lavenderferry/runtime";
import type { RelayedRequest } from "../requests/relayed_request.ts";
import type { Pool, RelayState } from "../state.ts";
import { expectRemainder, minEventsToCopy } from "./copy_offer.ts";
import { copyMemoryLimit, maxMemoryFractionWithCopy } from "./copy_value.ts";
import { copyReservationId, reserveMemory } from "./reserve_memory.ts";

/**
 * Number of engines compared when a copy is placed. A small number makes
 * processes spread their copies over different engines.
 */
const copyCandidates = 2;

/**
 * Chooses the engine that keeps a copy of a long generation's memory, reserves
 * the memory there and returns the engine's address.
 */
export function chooseCopyUpstream(
  state: RelayState,
  request: RelayedRequest,
  { pool, at }: { readonly pool: Pool; readonly at: Moment },
): string | null {
  const { engines } = pool.service;
  const { demand, upstream, attemptId } = request;
  if (engines === null || !engines.copies) {
    return null;
  }
  if (demand.maxTokens < minEventsToCopy * engines.tokensPerEvent) {
    return null;
  }
  // Copies of processes that do not know each other's would fill all memory, so
  // they need a recent report of the engine that keeps the copy.
  const isReported = !state.fleet.exchangesWithAll;
  const expected = isReported ? expectRemainder(state, request, pool) : null;
  if (isReported && expected === null) {
    return null;
  }
  const excludedEngines = [...(demand.excludedEngines ?? []), upstream];
  const copyUpstream = pool.dispatcher.chooseTransferTarget({
    ...demand,
    promptTokens: expected?.copyTokens ?? demand.promptTokens,
    excludedEngines,
  }, {
    at,
    maxCandidates: copyCandidates,
    maxMemoryFraction: expected === null
      ? maxMemoryFractionWithCopy
      : copyMemoryLimit(expected),
    isReported,
  });
  const vm = copyUpstream === null
    ? undefined
    : state.upstreams.get(copyUpstream);
  if (copyUpstream === null || vm === undefined) {
    return null;
  }
  request.copyUpstream = copyUpstream;
  const generationId = copyReservationId(attemptId);
  reserveMemory(pool, request, { generationId, engine: copyUpstream, at });
  return vm.address;
}
