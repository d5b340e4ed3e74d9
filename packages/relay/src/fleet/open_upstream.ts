import type { Vm } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import type { Pool, RelayState } from "../state.ts";

/** Adds an upstream to the dispatcher of its service. */
export function openUpstream(state: RelayState, vm: Vm, at: Moment): void {
  const { id, dataCentre, slots } = vm;
  const pool = state.pools.get(vm.pool ?? "");
  // Reporting its memory again would reset its circuit breaker.
  if (pool === undefined || pool.openUpstreams.has(id)) {
    return;
  }
  pool.openUpstreams.add(id);
  pool.dispatcher.addEngine({
    id,
    dataCentre,
    pool: pool.service.name,
    ...(slots === undefined ? {} : { slots }),
  }, at);
  reportMemory(pool, id, at);
}

/**
 * Reports an engine's memory to the dispatcher. Its size is taken from the
 * routing; its load is zero, as the dispatcher tracks the requests itself.
 */
function reportMemory(pool: Pool, id: string, at: Moment): void {
  const { engines } = pool.service;
  if (engines === null) {
    return;
  }
  pool.dispatcher.loadReported(id, {
    at: at.wall,
    running: 0,
    waiting: 0,
    memoryTokens: engines.memoryTokens,
    usedTokens: 0,
    preemptions: 0,
    finished: 0,
    draining: false,
    models: engines.models,
  }, at);
}
