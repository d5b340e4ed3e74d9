import type { ErrorKind } from "@lavenderferry/errors";
import type { DispatchOutcome, Placement } from "@lavenderferry/policy";
import { leastUrgent } from "@lavenderferry/policy";
import type { Moment } from "@lavenderferry/runtime";
import type { RelayEffect, Resumption } from "../relay_effect.ts";
import type { Pool, RelayState } from "../state.ts";
import { nextId } from "../state.ts";
import { evacuatedReason, isStranded } from "../upstreams/evacuations.ts";
import type { FailureAnswer } from "../util/effects.ts";
import { count, recordDecision, sendFailure } from "../util/effects.ts";
import { forwardRequest } from "../forwarding/forward_request.ts";
import { chooseCopyUpstream } from "../moves/choose_copy_upstream.ts";
import { countCopy } from "../moves/rescue_counts.ts";
import {
  generatedTokens,
  releaseCopy,
  releaseMove,
} from "../moves/reserve_memory.ts";
import { abandonedRunKey, stopAbandonedRun } from "../moves/abandoned_run.ts";
import { timerPeriodsMs } from "../process/timers.ts";
import {
  askBeforePlacement,
  askForQueues,
  usesReports,
} from "../reports/ask_engines.ts";
import type { RelayedRequest } from "./relayed_request.ts";

/** Limit on attempts of one request, including those refused without a run. */
export const maxSends = 4;

/** Retry delay for callers whose service has no pool, in milliseconds. */
const noPoolRetryMs = 1_000;

/** Milliseconds for which peers need not ask an isolated process again. */
const isolatedRetryMs = 3_000;

/**
 * Sends, queues or refuses a request that has no current attempt. A first attempt
 * waits shortly for the reports of a few engines where loads are not known.
 */
export function placeRequest(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const pool = state.pools.get(request.service);
  if (
    pool === undefined || request.sends > 0 || !usesReports(state, pool) ||
    state.reachability.isIsolated
  ) {
    return decidePlacement(state, request, { engines: null, at });
  }
  const { engines, effects } = askBeforePlacement(state, request, { pool, at });
  return state.pendingPlacements.has(request.exchangeId)
    ? effects
    : [...effects, ...decidePlacement(state, request, { engines, at })];
}

/**
 * Sends, queues or refuses a request now. It is sent to one of the given engines;
 * `null`: to any.
 */
export function decidePlacement(
  state: RelayState,
  request: RelayedRequest,
  { engines, at }: {
    readonly engines: readonly string[] | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  state.pendingPlacements.delete(request.exchangeId);
  const pool = state.pools.get(request.service);
  if (pool === undefined) {
    state.requests.delete(request.exchangeId);
    return [
      recordDecision(state, {
        kind: "refuse",
        subject: request.requestId,
        reason: "no_pool",
        figures: { service: request.service },
      }, at),
      ...refuseRequest(request, "no_upstream", noPoolRetryMs),
    ];
  }
  const forwardEffects = forwardRequest(state, request, at);
  if (forwardEffects !== null) {
    return forwardEffects;
  }
  if (request.isForwarded && state.reachability.isIsolated) {
    state.requests.delete(request.exchangeId);
    return [
      recordDecision(state, {
        kind: "refuse",
        subject: request.requestId,
        reason: "isolated",
        figures: { unreached: state.reachability.unreachedCount },
      }, at),
      ...refuseRequest(request, "no_upstream", isolatedRetryMs),
    ];
  }
  if (request.sends === 0) {
    pool.retryBudget.deposit();
  }
  const { demand } = request;
  const placement = engines === null || pool.reporting === null
    ? pool.dispatcher.place(demand, at)
    : pool.reporting.placeAmong(demand, engines, at);
  return applyPlacement(state, request, { placement, at });
}

/** Sends or refuses every queued request that its dispatcher releases. */
export function releaseBacklogs(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const effects: RelayEffect[] = [];
  for (const pool of state.pools.values()) {
    const { dispatcher } = pool;
    if (dispatcher.waiting === 0) {
      continue;
    }
    if (isStranded(state, pool)) {
      effects.push(...refuseStranded(state, pool, at));
    }
    for (const { demand, placement } of dispatcher.release(at)) {
      const request = state.requests.get(demand.requestId);
      if (request !== undefined) {
        effects.push(...applyPlacement(state, request, { placement, at }));
      }
    }
  }
  return effects;
}

/** Refuses the queued requests of a service without upstreams. */
function refuseStranded(
  state: RelayState,
  { service, openUpstreams }: Pool,
  at: Moment,
): readonly RelayEffect[] {
  return [...state.requests.values()]
    .filter((request) =>
      request.phase === "waiting" && request.service === service.name
    )
    .flatMap((request) => [
      recordDecision(state, {
        kind: "refuse",
        subject: request.requestId,
        reason: evacuatedReason,
        figures: { service: service.name, open: openUpstreams.size },
      }, at),
      ...endRequest(state, request, { outcome: "cancelled", at }),
      ...refuseRequest(request, "no_upstream", noPoolRetryMs),
    ]);
}

/**
 * Sets the timer that releases queued requests, unless it is set or none is
 * queued.
 */
export function scheduleRelease(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const isWaiting = [...state.pools.values()]
    .some(({ dispatcher }) => dispatcher.waiting > 0);
  if (state.isReleaseScheduled || !isWaiting) {
    return [];
  }
  state.isReleaseScheduled = true;
  const kind = "release_backlogs";
  const dueAt = at.monotonic + timerPeriodsMs[kind];
  return [{ kind: "set_timer", timer: { kind }, at: dueAt }];
}

/** Removes a request and releases what it occupies at upstreams. */
export function endRequest(
  state: RelayState,
  request: RelayedRequest,
  { outcome, at }: { readonly outcome: DispatchOutcome; readonly at: Moment },
): readonly RelayEffect[] {
  state.requests.delete(request.exchangeId);
  state.pendingPlacements.delete(request.exchangeId);
  const pool = state.pools.get(request.service);
  if (request.phase === "waiting") {
    pool?.dispatcher.withdraw(request.demand.requestId);
    return [];
  }
  return endAttempt(state, request, { outcome, at });
}

/**
 * Ends the current attempt and releases its copy and its move. Unless the answer is
 * complete or the upstream refused, its connection is closed and its engine is
 * asked to stop what it may go on with.
 */
export function endAttempt(
  state: RelayState,
  request: RelayedRequest,
  { outcome, resumesAt = null, at }: {
    readonly outcome: DispatchOutcome;
    /** Id of the upstream at which the request goes on; `null`: nowhere yet. */
    readonly resumesAt?: string | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { attemptId } = request;
  const givesUp = outcome === "cancelled" || outcome === "failed";
  const stopEffects = givesUp
    ? stopAbandonedRun(state, request, { resumesAt, at })
    : [];
  const dispatcher = state.pools.get(request.service)?.dispatcher;
  dispatcher?.ended(attemptId, outcome, at);
  releaseCopy(state, request, at);
  releaseMove(state, request, at);
  return givesUp ? [{ kind: "drop_attempt", attemptId }, ...stopEffects] : [];
}

/** Answers with a failure, or closes an answer that has already begun. */
export function failRequest(
  request: RelayedRequest,
  failure: FailureAnswer,
): readonly RelayEffect[] {
  const { exchangeId, phase } = request;
  return phase === "streaming"
    ? [count("refusals", "cut"), { kind: "abort_answer", exchangeId }]
    : sendFailure(exchangeId, failure);
}

/**
 * Ends a request with a final answer, or closes an answer that has already
 * begun. A request that has not run may be retried.
 */
export function dropRequest(
  state: RelayState,
  request: RelayedRequest,
  { reason, errorIfNotRun, errorIfUnknown, outcome, retryAfterMs, at }: {
    readonly reason: string;
    /** Error of a request that was never sent to an upstream. */
    readonly errorIfNotRun: ErrorKind;
    /** Error of a request that may have run. */
    readonly errorIfUnknown: ErrorKind;
    /** How the current attempt ended for its upstream. */
    readonly outcome: "cancelled" | "failed";
    /** Retry delay for the caller of a request that has not run. */
    readonly retryAfterMs: number;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { requestId, phase, runs, events, upstream, demand } = request;
  const notRun = phase === "waiting" && runs === 0;
  const ageMs = Math.round(at.monotonic - demand.arrivedAt);
  return [
    recordDecision(state, {
      kind: "drop",
      subject: requestId,
      reason,
      figures: { phase, runs, upstream, events, ageMs },
    }, at),
    ...endRequest(state, request, { outcome, at }),
    ...failRequest(
      request,
      notRun
        ? { error: errorIfNotRun, notRun: true, retryAfterMs }
        : { error: errorIfUnknown, notRun: "unknown" },
    ),
  ];
}

/**
 * Refuses a request and states when to retry. A refusal promises that the
 * request has not run, so one that may have run fails with `upstream_lost`.
 */
export function refuseRequest(
  request: RelayedRequest,
  error: ErrorKind,
  retryAfterMs: number,
): readonly RelayEffect[] {
  const neverRan = request.runs === 0 && request.resumption === null;
  return failRequest(
    request,
    neverRan
      ? { error, notRun: true, retryAfterMs }
      : { error: "upstream_lost", notRun: "unknown" },
  );
}

/** Sends a request to an upstream as a new attempt. */
export function startAttempt(
  state: RelayState,
  request: RelayedRequest,
  options: {
    readonly upstream: string;
    readonly resumption: Resumption | null;
    /** Whether the upstream may lack memory for the request. */
    readonly isTight?: boolean;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { upstream, resumption, isTight = false, at } = options;
  const vm = state.upstreams.get(upstream);
  const pool = state.pools.get(request.service);
  if (vm === undefined || pool === undefined) {
    throw new TypeError(`The upstream "${upstream}" is not known`);
  }
  if (request.move !== null) {
    // It belongs to the former attempt, and outcomes of that are ignored.
    releaseMove(state, request, at);
  }
  const attemptId = nextId(state);
  request.attemptId = attemptId;
  request.upstream = upstream;
  request.sends += 1;
  request.resumption = resumption;
  request.sentAt = at.monotonic;
  request.firstEventAt = null;
  // A call to stop its former run there may still be under way.
  const runKey = abandonedRunKey(vm.address, request.requestId);
  request.stop = state.abandonedRuns.delete(runKey) ? "unconfirmed" : "none";
  request.keptHandle = null;
  request.streamEnd = null;
  request.isStopped = false;
  if (request.phase === "waiting") {
    request.phase = "sent";
  }
  if (resumption !== null) {
    // Dispatchers count the requests that they place.
    state.requestLimits.recordStart(upstream, at);
  }
  const { demand } = request;
  const sent = { generationId: attemptId, engine: upstream, demand };
  pool.dispatcher.sent(sent, at);
  pool.dispatcher.progressed(attemptId, generatedTokens(pool, request), at);
  const copyTo = chooseCopyUpstream(state, request, { pool, at });
  return [
    count("attempts", request.route.name),
    ...copyTo === null ? [] : [countCopy("made")],
    {
      kind: "send_request",
      attemptId,
      exchangeId: request.exchangeId,
      target: {
        id: vm.id,
        address: vm.address,
        instance: vm.instance ?? vm.id,
        isLimited: state.requestLimits.isLimited(vm.id),
        isBrittle: pool.brittleness.isBrittle(at),
        isPeer: false,
      },
      streaming: request.route.streaming,
      workspace: request.workspace,
      deadline: request.deadline,
      copyTo,
      urgency: isTight && request.urgency !== null
        ? leastUrgent
        : request.urgency,
      resumption,
    },
  ];
}

function applyPlacement(
  state: RelayState,
  request: RelayedRequest,
  { placement, at }: { readonly placement: Placement; readonly at: Moment },
): readonly RelayEffect[] {
  const { reason, figures } = placement;
  const subject = request.requestId;
  switch (placement.kind) {
    case "dispatch": {
      const { engine: upstream, isTight = false } = placement;
      const effects = startAttempt(state, request, {
        upstream,
        resumption: null,
        isTight,
        at,
      });
      const copy = request.copyUpstream ?? "";
      return [
        recordDecision(state, {
          kind: "choose",
          subject,
          reason,
          figures: { upstream, copy, ...figures },
        }, at),
        ...typeof figures.reportMs === "number"
          ? [{ kind: "observe_report", ageMs: figures.reportMs } as const]
          : [],
        ...effects,
      ];
    }
    case "wait":
      return [
        recordDecision(state, { kind: "queue", subject, reason, figures }, at),
        ...askForQueues(state, at),
        ...scheduleRelease(state, at),
      ];
    case "refuse": {
      const { error, retryAfterMs } = placement;
      const kind = error === "unknown_model" ? "no_upstream" : error;
      state.requests.delete(request.exchangeId);
      return [
        recordDecision(state, { kind: "refuse", subject, reason, figures }, at),
        ...refuseRequest(request, kind, retryAfterMs),
      ];
    }
  }
}
