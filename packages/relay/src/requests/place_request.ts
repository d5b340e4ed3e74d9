import type { ErrorKind } from "@lavenderferry/errors";
import type { Ending, Placement } from "@lavenderferry/policy";
import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect, Resumption } from "../relay_effect.ts";
import type { Pool, RelayState } from "../state.ts";
import { nextId } from "../state.ts";
import type { FailureAnswer } from "../util/effects.ts";
import { count, decide, fail } from "../util/effects.ts";
import type { RelayedRequest } from "./relayed_request.ts";

/** Milliseconds after which a caller asks again where no upstream is known. */
const noPoolRetryMs = 1_000;

/** Sends, queues or refuses a request that no upstream may have run. */
export function placeRequest(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const pool = state.pools.get(request.service);
  if (pool === undefined) {
    state.requests.delete(request.exchangeId);
    return [
      decide(state, {
        kind: "refuse",
        subject: request.requestId,
        reason: "no_pool",
        figures: { service: request.service },
      }, at),
      ...refuse(request, "no_upstream", noPoolRetryMs),
    ];
  }
  if (request.sends === 0) {
    pool.repeats.earn();
  }
  const placement = pool.dispatcher.place(request.demand, at);
  return followPlacement(state, request, { placement, at });
}

/** Acts on every waiting request whose wait is over. */
export function pumpBacklogs(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const effects: RelayEffect[] = [];
  for (const { dispatcher } of state.pools.values()) {
    if (dispatcher.waiting === 0) {
      continue;
    }
    for (const { demand, placement } of dispatcher.release(at)) {
      const request = state.requests.get(demand.requestId);
      if (request !== undefined) {
        effects.push(...followPlacement(state, request, { placement, at }));
      }
    }
  }
  return effects;
}

/** Forgets a request and frees what it holds at upstreams. */
export function endRequest(
  state: RelayState,
  request: RelayedRequest,
  { ending, at }: { readonly ending: Ending; readonly at: Moment },
): readonly RelayEffect[] {
  state.requests.delete(request.exchangeId);
  const pool = state.pools.get(request.service);
  if (request.phase === "waiting") {
    pool?.dispatcher.withdraw(request.demand.requestId);
    return [];
  }
  return endAttempt(state, request, { ending, at });
}

/** Ends the current attempt; its connection is closed if it is still open. */
export function endAttempt(
  state: RelayState,
  request: RelayedRequest,
  { ending, at }: { readonly ending: Ending; readonly at: Moment },
): readonly RelayEffect[] {
  const { attemptId } = request;
  const dispatcher = state.pools.get(request.service)?.dispatcher;
  dispatcher?.ended(attemptId, ending, at);
  releaseCopy(state, request, at);
  releaseMove(state, request, at);
  return ending === "finished" || ending === "refused"
    ? []
    : [{ kind: "drop_attempt", attemptId }];
}

/** Gives up the copy of a generation's memory. */
export function releaseCopy(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): void {
  const dispatcher = state.pools.get(request.service)?.dispatcher;
  dispatcher?.ended(copyOf(request.attemptId), "cancelled", at);
  request.copyAt = null;
}

/** Gives up the move of a generation; what its engine does goes on. */
export function releaseMove(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): void {
  const dispatcher = state.pools.get(request.service)?.dispatcher;
  dispatcher?.ended(moveOf(request.attemptId), "cancelled", at);
  request.move = null;
}

/** Tells the caller of a failure, as far as the answer has not begun. */
export function refusalOf(
  request: RelayedRequest,
  failure: FailureAnswer,
): readonly RelayEffect[] {
  const { exchangeId, phase } = request;
  return phase === "streaming"
    ? [count("refusals", "cut"), { kind: "cut_answer", exchangeId }]
    : fail(exchangeId, failure);
}

/**
 * Tells the caller when to come back. Refusals promise that a request has not
 * run, so one that may have run is lost instead.
 */
export function refuse(
  request: RelayedRequest,
  error: ErrorKind,
  retryAfterMs: number,
): readonly RelayEffect[] {
  const unrun = request.runs === 0 && request.resumption === null;
  return refusalOf(
    request,
    unrun
      ? { error, notRun: true, retryAfterMs }
      : { error: "upstream_lost", notRun: "unknown" },
  );
}

/** Sends a request to an upstream. */
export function startAttempt(
  state: RelayState,
  request: RelayedRequest,
  options: {
    readonly upstream: string;
    readonly resumption: Resumption | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { upstream, resumption, at } = options;
  const vm = state.upstreams.get(upstream);
  const pool = state.pools.get(request.service);
  if (vm === undefined || pool === undefined) {
    throw new TypeError(`The upstream "${upstream}" is not known`);
  }
  const attemptId = nextId(state);
  request.attemptId = attemptId;
  request.upstream = upstream;
  request.sends += 1;
  request.resumption = resumption;
  request.firstEventAt = null;
  if (request.phase === "waiting") {
    request.phase = "sent";
  }
  const { demand } = request;
  const sent = { generationId: attemptId, engine: upstream, demand };
  pool.dispatcher.sent(sent, at);
  pool.dispatcher.progressed(attemptId, tokensOf(pool, request), at);
  const copyTo = chooseCopy(state, request, { pool, at });
  return [
    count("attempts", request.route.name),
    {
      kind: "send_request",
      attemptId,
      exchangeId: request.exchangeId,
      target: { address: vm.address, instance: vm.instance ?? vm.id },
      streaming: request.route.streaming,
      workspace: request.workspace,
      deadline: request.deadline,
      copyTo,
      resumption,
    },
  ];
}

/** Tokens that a generation has produced, by the events passed on. */
export function tokensOf(pool: Pool, { events }: RelayedRequest): number {
  return events * (pool.service.engines?.tokensPerEvent ?? 1);
}

/** Tokens that a generation holds in memory: its prompt and its answer. */
export function memoryOf(pool: Pool, request: RelayedRequest): number {
  return request.demand.promptTokens + tokensOf(pool, request);
}

/** Counts memory that an engine holds for a generation that runs elsewhere. */
export function holdMemory(
  pool: Pool,
  request: RelayedRequest,
  { generationId, engine, at }: {
    readonly generationId: string;
    readonly engine: string;
    readonly at: Moment;
  },
): void {
  const { demand } = request;
  pool.dispatcher.sent({ generationId, engine, demand, passive: true }, at);
  pool.dispatcher.progressed(generationId, tokensOf(pool, request), at);
}

/** Name under which the dispatcher counts the copy of an attempt. */
export function copyOf(attemptId: string): string {
  return `copy/${attemptId}`;
}

/** Name under which the dispatcher counts the move of an attempt. */
export function moveOf(attemptId: string): string {
  return `move/${attemptId}`;
}

/** Events below which a generation ends before a copy is of use. */
const leastEventsToCopy = 40;

/** Engines that are weighed for a copy: few, so that processes spread them. */
const copyCandidates = 2;

/**
 * Share of an engine's memory up to which it takes copies: a copy doubles what
 * a generation holds, so beyond half they take the place of generations, and
 * an engine that leaves moves what it can in turn.
 */
const copyFill = 0.5;

/** Chooses an engine that keeps a copy of a long generation's memory. */
function chooseCopy(
  state: RelayState,
  request: RelayedRequest,
  { pool, at }: { readonly pool: Pool; readonly at: Moment },
): string | null {
  const { engines } = pool.service;
  const { demand, upstream, attemptId } = request;
  if (engines === null || !engines.copies) {
    return null;
  }
  if (demand.maxTokens < leastEventsToCopy * engines.tokensPerEvent) {
    return null;
  }
  const avoid = [...(demand.avoid ?? []), upstream];
  const copyAt = pool.dispatcher.transfer({ ...demand, avoid }, {
    at,
    candidates: copyCandidates,
    largestFill: copyFill,
  });
  const vm = copyAt === null ? undefined : state.upstreams.get(copyAt);
  if (copyAt === null || vm === undefined) {
    return null;
  }
  request.copyAt = copyAt;
  const generationId = copyOf(attemptId);
  holdMemory(pool, request, { generationId, engine: copyAt, at });
  return vm.address;
}

function followPlacement(
  state: RelayState,
  request: RelayedRequest,
  { placement, at }: { readonly placement: Placement; readonly at: Moment },
): readonly RelayEffect[] {
  const { reason, figures } = placement;
  const subject = request.requestId;
  switch (placement.kind) {
    case "dispatch": {
      const { engine: upstream } = placement;
      const effects = startAttempt(state, request, {
        upstream,
        resumption: null,
        at,
      });
      const copy = request.copyAt ?? "";
      return [
        decide(state, {
          kind: "choose",
          subject,
          reason,
          figures: { upstream, copy, ...figures },
        }, at),
        ...effects,
      ];
    }
    case "wait":
      return [decide(state, { kind: "queue", subject, reason, figures }, at)];
    case "refuse": {
      const { error, retryAfterMs } = placement;
      const kind = error === "unknown_model" ? "no_upstream" : error;
      state.requests.delete(request.exchangeId);
      return [
        decide(state, { kind: "refuse", subject, reason, figures }, at),
        ...refuse(request, kind, retryAfterMs),
      ];
    }
  }
}
