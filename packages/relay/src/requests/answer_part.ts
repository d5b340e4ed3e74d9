import { isEarlyLoss, requestBlockOf } from "@lavenderferry/policy";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RequestEvent } from "../relay_event.ts";
import {
  mayEndUpstreams,
  recordAnswered,
  recordLoss,
} from "../quarantine/quarantine_part.ts";
import { forwardRequest, isAtPeer } from "../forwarding/forward_request.ts";
import {
  handleFailedPeer,
  handleRefusedPeer,
  recordUnreached,
} from "../forwarding/forwarding_part.ts";
import type { RelayState } from "../state.ts";
import { closeUpstream } from "../state.ts";
import { movePart, retryDeparture } from "../moves/move_part.ts";
import { countIfLost } from "../moves/rescue_counts.ts";
import { copyReservationId, generatedTokens } from "../moves/reserve_memory.ts";
import { resumeFromCopy } from "../moves/resume_generation.ts";
import { endStoppable } from "../moves/settle_end.ts";
import { stopPart } from "../moves/stop_part.ts";
import { markStopped, resumeElsewhere } from "../moves/stopped_generation.ts";
import { isOverColdLimit } from "../upstreams/cold_upstreams.ts";
import { isDeparting, isEvacuated } from "../upstreams/evacuations.ts";
import { count, recordDecision } from "../util/effects.ts";
import {
  endAttempt,
  endRequest,
  failRequest,
  maxSends,
  placeRequest,
  refuseRequest,
  releaseBacklogs,
  startAttempt,
} from "./place_request.ts";
import { completeStream } from "./complete_stream.ts";
import { recordAnswerTime } from "./record_answer_time.ts";
import type { RelayedRequest, RequestPhase } from "./relayed_request.ts";
import { scheduleResumption } from "./resumption_retry.ts";
import { mayBeStopped } from "./stop_state.ts";

type Event<Kind extends RequestEvent["kind"]> = Timed<
  Extract<RequestEvent, { kind: Kind }>
>;

/** Retry delay for callers after upstreams refused, in milliseconds. */
const refusedRetryMs = 400;

/** Relative jitter of retry delays, so that callers do not retry together. */
const retryJitterShare = 0.5;

/** Lowest HTTP status that counts as a failure of the upstream. */
const minServerErrorStatus = 500;

/** Event handlers that forward answers and retry or resume failed attempts. */
export const answerPart: EventHandlers<
  RelayState,
  Exclude<
    RequestEvent,
    {
      readonly kind:
        | "request_received"
        | "caller_disconnected"
        | "relaying_failed"
        | "memory_exceeded";
    }
  >,
  RelayEffect
> = {
  ...movePart,
  ...stopPart,
  attempt_refused: handleRefusedAttempt,
  attempt_failed: handleFailedAttempt,
  answer_received: handleAnswer,
  events_received: forwardEvents,
  stream_ended: finishStream,
};

function findCurrentRequest(
  state: RelayState,
  { exchangeId, attemptId }: {
    readonly exchangeId: string;
    readonly attemptId: string;
  },
): RelayedRequest | undefined {
  const request = state.requests.get(exchangeId);
  return request?.attemptId === attemptId ? request : undefined;
}

type AnswerHandler = (
  state: RelayState,
  request: RelayedRequest,
  event: Event<"answer_received">,
) => readonly RelayEffect[];

/** Handlers of answers that are no stream, by the phase of their request. */
const answerHandlers: Readonly<Record<RequestPhase, AnswerHandler>> = {
  waiting: () => [],
  sent: forwardAnswer,
  // A resumed stream has a status already, so this is no part of its answer.
  streaming: failAnswer,
};

function handleAnswer(
  state: RelayState,
  event: Event<"answer_received">,
): readonly RelayEffect[] {
  const request = findCurrentRequest(state, event);
  return request === undefined
    ? []
    : answerHandlers[request.phase](state, request, event);
}

/** Handles an answer as a failure of its attempt. */
function failAnswer(
  state: RelayState,
  _request: RelayedRequest,
  { answer, at, attemptId, exchangeId }: Event<"answer_received">,
): readonly RelayEffect[] {
  return handleFailedAttempt(state, {
    kind: "attempt_failed",
    attemptId,
    exchangeId,
    reason: `status_${answer.status}`,
    at,
  });
}

function forwardAnswer(
  state: RelayState,
  request: RelayedRequest,
  event: Event<"answer_received">,
): readonly RelayEffect[] {
  const { answer, at, exchangeId } = event;
  const failed = answer.status >= minServerErrorStatus;
  if (failed && !isAtPeer(request) && canRunAgain(state, request, at)) {
    return failAnswer(state, request, event);
  }
  const ms = Math.round(at.monotonic - request.demand.arrivedAt);
  const { upstream, runs, sends } = request;
  const outcome = failed ? "failed" : "finished";
  if (!failed && !request.route.streaming) {
    const time = { firstEventMs: ms, streamMs: 0, tokens: 0 };
    recordAnswerTime(state, request, time);
  }
  const effects = endRequest(state, request, { outcome, at });
  return [
    recordDecision(state, {
      kind: "finish",
      subject: request.requestId,
      reason: "answered",
      figures: { status: answer.status, upstream, ms, runs, sends },
    }, at),
    ...effects,
    { kind: "observe", route: request.route.name, milliseconds: ms },
    { kind: "send_answer", exchangeId, answer },
    ...recordAnswered(state, [requestBlockOf(request.fingerprint)], at),
    ...releaseBacklogs(state, at),
  ];
}

function forwardEvents(
  state: RelayState,
  event: Event<"events_received">,
): readonly RelayEffect[] {
  const request = findCurrentRequest(state, event);
  const pool = state.pools.get(request?.service ?? "");
  if (request === undefined || pool === undefined) {
    return [];
  }
  const { at, head, bytes, lastEventId, attemptId, exchangeId } = event;
  const effects: RelayEffect[] = [];
  if (request.phase !== "streaming") {
    request.phase = "streaming";
    request.firstEventMs = at.monotonic - request.demand.arrivedAt;
    const route = request.route.name;
    effects.push({
      kind: "observe",
      route,
      milliseconds: request.firstEventMs,
    });
  } else {
    const pauseMs = at.monotonic - request.lastProgressAt;
    request.longestPauseMs = Math.max(request.longestPauseMs, pauseMs);
  }
  request.firstEventAt ??= at.monotonic;
  request.refusedResumptions = 0;
  request.events += event.count;
  request.lastEventId = lastEventId ?? request.lastEventId;
  request.lastProgressAt = at.monotonic;
  const tokens = generatedTokens(pool, request);
  pool.dispatcher.progressed(attemptId, tokens, at);
  if (request.copyUpstream !== null) {
    pool.dispatcher.progressed(copyReservationId(attemptId), tokens, at);
  }
  effects.push({ kind: "send_events", exchangeId, head, bytes });
  return effects;
}

function finishStream(
  state: RelayState,
  event: Event<"stream_ended">,
): readonly RelayEffect[] {
  const request = findCurrentRequest(state, event);
  if (request === undefined) {
    return [];
  }
  const { at, head, framed } = event;
  return !framed && mayBeStopped(request.stop)
    ? endStoppable(state, request, { head, at })
    : completeStream(state, request, { head, framed, at });
}

function handleRefusedAttempt(
  state: RelayState,
  event: Event<"attempt_refused">,
): readonly RelayEffect[] {
  const request = findCurrentRequest(state, event);
  if (request === undefined) {
    return [];
  }
  const { at, reason, detail = "" } = event;
  if (reason === "unsendable") {
    return dropUnsendable(state, request, { detail, at });
  }
  if (isAtPeer(request)) {
    return handleRefusedPeer(state, request, event);
  }
  const { upstream, requestId, runs, sends, demand, resumption } = request;
  const isResumption = resumption !== null;
  const pool = state.pools.get(request.service);
  endAttempt(state, request, { outcome: "refused", at });
  if (reason !== "not_executed" && pool !== undefined) {
    // The next list of upstreams adds it again if it is still listed.
    closeUpstream(pool, upstream);
  }
  const reachEffects = reason === "unreachable"
    ? recordUnreached(state, upstream, at)
    : [];
  const figures = { upstream, sends, runs, detail };
  if (isResumption && reason === "not_executed") {
    const notBefore = state.requestLimits.pauseEndsAt(upstream);
    const timer = scheduleResumption(request, { notBefore, at });
    if (timer !== null) {
      markStopped(state, request);
      return [
        recordDecision(state, {
          kind: "retry",
          subject: requestId,
          reason: "resumption_refused",
          figures,
        }, at),
        count("retries", reason),
        timer,
      ];
    }
  }
  const decision = { kind: "retry", subject: requestId, reason, figures };
  const forwardEffects = at.monotonic < request.deadline
    ? forwardRequest(state, request, at)
    : null;
  if (forwardEffects !== null) {
    return [
      recordDecision(state, { ...decision, kind: "retry" }, at),
      count("retries", reason),
      ...reachEffects,
      ...forwardEffects,
    ];
  }
  // Nothing has arrived at an upstream that was not reached, so that another
  // attempt is no load beyond the first.
  const isFree = reason === "unreachable";
  const canRetry = !isResumption && sends < maxSends &&
    at.monotonic < request.deadline &&
    (isFree || pool?.retryBudget.tryWithdraw() === true);
  if (!canRetry) {
    state.requests.delete(request.exchangeId);
    const retryAfterMs = state.random.jitter(refusedRetryMs, retryJitterShare);
    return [
      recordDecision(state, { ...decision, kind: "drop" }, at),
      ...reachEffects,
      ...refuseRequest(request, "upstream_refused", retryAfterMs),
      ...releaseBacklogs(state, at),
    ];
  }
  request.phase = "waiting";
  request.demand = {
    ...demand,
    excludedEngines: [...(demand.excludedEngines ?? []), upstream],
  };
  return [
    recordDecision(state, { ...decision, kind: "retry" }, at),
    count("retries", reason),
    ...reachEffects,
    ...placeRequest(state, request, at),
  ];
}

/** Ends a request that no upstream can be sent. */
function dropUnsendable(
  state: RelayState,
  request: RelayedRequest,
  { detail, at }: { readonly detail: string; readonly at: Moment },
): readonly RelayEffect[] {
  const { exchangeId, requestId: subject, runs, upstream, events } = request;
  const notRun = runs === 0 && request.resumption === null;
  endAttempt(state, request, { outcome: "refused", at });
  state.requests.delete(exchangeId);
  return [
    recordDecision(state, {
      kind: "drop",
      subject,
      reason: "unsendable",
      figures: { upstream, events, runs, detail },
    }, at),
    ...failRequest(request, {
      error: "internal",
      notRun: notRun ? true : "unknown",
    }),
    ...releaseBacklogs(state, at),
  ];
}

/** Retries a refused resumption. Called when its retry timer fires. */
export function retryResumption(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  if (request === undefined || request.resumption === null) {
    return [];
  }
  const { upstream, resumption, isStopped } = request;
  if (!isStopped || !state.upstreams.has(upstream)) {
    return [];
  }
  if (isEvacuated(state, upstream) || isOverColdLimit(state, upstream, at)) {
    return resumeElsewhere(state, request, at);
  }
  return [
    ...startAttempt(state, request, { upstream, resumption, at }),
    // A departure that was due while it waited has done nothing.
    ...isDeparting(state, upstream) ? [retryDeparture(request, at)] : [],
  ];
}

function handleFailedAttempt(
  state: RelayState,
  event: Event<"attempt_failed">,
): readonly RelayEffect[] {
  const request = findCurrentRequest(state, event);
  if (request === undefined) {
    return [];
  }
  const { at, reason } = event;
  if (isAtPeer(request)) {
    return handleFailedPeer(state, request, { reason, at });
  }
  if (request.move?.phase === "stopping") {
    return endStoppable(state, request, { head: null, at });
  }
  const lossEffects = event.connectionLost === true
    ? recordLoss(state, request, at)
    : [];
  if (!state.requests.has(request.exchangeId)) {
    // The loss has put the request under quarantine, which ended it.
    return lossEffects;
  }
  // A request that ends engines would end the one that keeps the copy as well.
  const isSuspect = isEarlyLoss(request.firstEventAt, at) &&
    mayEndUpstreams(state, request, at);
  const resumptionEffects = isSuspect
    ? null
    : resumeFromCopy(state, request, { reason, at });
  if (resumptionEffects !== null) {
    return [...lossEffects, ...resumptionEffects];
  }
  const canRetry = canRunAgain(state, request, at);
  const { upstream, requestId, events } = request;
  request.runs += 1;
  const figures = {
    upstream,
    events,
    begunMs: begunMs(request, at),
    runs: request.runs,
    sends: request.sends,
    ...(event.detail === undefined ? {} : { detail: event.detail }),
  };
  const lostEffects = countIfLost(state, request);
  const endEffects = endAttempt(state, request, { outcome: "failed", at });
  if (!canRetry) {
    state.requests.delete(request.exchangeId);
    return [
      ...lostEffects,
      recordDecision(state, {
        kind: "drop",
        subject: requestId,
        reason,
        figures,
      }, at),
      ...lossEffects,
      ...endEffects,
      ...failRequest(request, { error: "upstream_lost", notRun: "unknown" }),
      ...releaseBacklogs(state, at),
    ];
  }
  state.pools.get(request.service)?.retryBudget.tryWithdraw();
  request.phase = "waiting";
  const { demand } = request;
  request.demand = {
    ...demand,
    excludedEngines: [...(demand.excludedEngines ?? []), upstream],
  };
  return [
    recordDecision(state, {
      kind: "retry",
      subject: requestId,
      reason,
      figures,
    }, at),
    count("retries", reason),
    ...lossEffects,
    ...endEffects,
    ...placeRequest(state, request, at),
  ];
}

/** Milliseconds since the attempt's first event; -1 if there was none. */
function begunMs({ firstEventAt }: RelayedRequest, at: Moment): number {
  return firstEventAt === null ? -1 : Math.round(at.monotonic - firstEventAt);
}

/** Whether a request that may have run may be sent to another upstream. */
function canRunAgain(
  state: RelayState,
  { route, runs, sends, phase, deadline, service }: RelayedRequest,
  at: Moment,
): boolean {
  return route.repeatable && !route.streaming && phase !== "streaming" &&
    runs + 1 < route.attempts && sends < maxSends &&
    at.monotonic < deadline &&
    state.pools.get(service)?.retryBudget.available === true;
}
