import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RequestEvent } from "../relay_event.ts";
import type { RelayState } from "../state.ts";
import { closeUpstream } from "../state.ts";
import { movePart, resumeFromCopy } from "../moves/move_part.ts";
import { count, decide } from "../util/effects.ts";
import {
  copyOf,
  endAttempt,
  endRequest,
  placeRequest,
  pumpBacklogs,
  refusalOf,
  refuse,
  startAttempt,
  tokensOf,
} from "./place_request.ts";
import type { RelayedRequest } from "./relayed_request.ts";

type Event<Kind extends RequestEvent["kind"]> = Timed<
  Extract<RequestEvent, { kind: Kind }>
>;

/** Attempts of one request, counting those that were refused unrun. */
const maxSends = 4;

/**
 * Milliseconds from each refusal of a resumption until it is asked for again:
 * copies arrive and room becomes free for some seconds, and a generation that
 * is not resumed is lost.
 */
const resumeAgainMs = [100, 150, 250, 500, 1_000, 1_500];

/** Milliseconds after which a caller asks again when upstreams refuse. */
const refusedRetryMs = 400;

/** Share by which that varies, so that callers do not return together. */
const retryJitter = 0.5;

/** Lowest status of an upstream's own failure. */
const firstFailureStatus = 500;

/** Passes answers on and decides what follows when an attempt breaks. */
export const answerPart: EventHandlers<
  RelayState,
  Exclude<
    RequestEvent,
    { readonly kind: "request_received" | "request_left" }
  >,
  RelayEffect
> = {
  ...movePart,
  attempt_refused: retryRefused,
  attempt_failed: recoverFailed,
  answer_received: passAnswer,
  events_received: passEvents,
  stream_ended: finishStream,
};

function current(
  state: RelayState,
  { exchangeId, attemptId }: {
    readonly exchangeId: string;
    readonly attemptId: string;
  },
): RelayedRequest | undefined {
  const request = state.requests.get(exchangeId);
  return request?.attemptId === attemptId ? request : undefined;
}

function passAnswer(
  state: RelayState,
  event: Event<"answer_received">,
): readonly RelayEffect[] {
  const request = current(state, event);
  if (request === undefined) {
    return [];
  }
  const { answer, at, attemptId, exchangeId } = event;
  const failed = answer.status >= firstFailureStatus;
  if (failed && mayRepeat(state, request, at)) {
    return recoverFailed(state, {
      kind: "attempt_failed",
      attemptId,
      exchangeId,
      reason: `status_${answer.status}`,
      at,
    });
  }
  const ms = Math.round(at.monotonic - request.demand.arrivedAt);
  const { upstream, runs, sends } = request;
  const ending = failed ? "failed" : "finished";
  const effects = endRequest(state, request, { ending, at });
  return [
    decide(state, {
      kind: "finish",
      subject: request.requestId,
      reason: "answered",
      figures: { status: answer.status, upstream, ms, runs, sends },
    }, at),
    ...effects,
    { kind: "observe", route: request.route.name, milliseconds: ms },
    { kind: "send_answer", exchangeId, answer },
    ...pumpBacklogs(state, at),
  ];
}

function passEvents(
  state: RelayState,
  event: Event<"events_received">,
): readonly RelayEffect[] {
  const request = current(state, event);
  const pool = state.pools.get(request?.service ?? "");
  if (request === undefined || pool === undefined) {
    return [];
  }
  const { at, head, bytes, lastEventId, attemptId, exchangeId } = event;
  const effects: RelayEffect[] = [];
  if (request.phase !== "streaming") {
    request.phase = "streaming";
    request.firstMs = at.monotonic - request.demand.arrivedAt;
    const route = request.route.name;
    effects.push({ kind: "observe", route, milliseconds: request.firstMs });
  } else {
    const pauseMs = at.monotonic - request.progressedAt;
    request.longestPauseMs = Math.max(request.longestPauseMs, pauseMs);
  }
  request.firstEventAt ??= at.monotonic;
  request.refusedResumptions = 0;
  request.events += event.count;
  request.lastEventId = lastEventId ?? request.lastEventId;
  request.progressedAt = at.monotonic;
  const tokens = tokensOf(pool, request);
  pool.dispatcher.progressed(attemptId, tokens, at);
  if (request.copyAt !== null) {
    pool.dispatcher.progressed(copyOf(attemptId), tokens, at);
  }
  effects.push({ kind: "send_events", exchangeId, head, bytes });
  return effects;
}

function finishStream(
  state: RelayState,
  event: Event<"stream_ended">,
): readonly RelayEffect[] {
  const request = current(state, event);
  if (request === undefined) {
    return [];
  }
  const { at, head, exchangeId, framed } = event;
  if (request.move?.phase === "stopping" && !framed) {
    // The engine closes the stream of a generation that it was told to stop.
    request.move = { ...request.move, streamEnded: true };
    return [];
  }
  const { upstream, events, sends } = request;
  const ms = Math.round(at.monotonic - request.demand.arrivedAt);
  const effects = endRequest(state, request, { ending: "finished", at });
  return [
    decide(state, {
      kind: "finish",
      subject: request.requestId,
      reason: "streamed",
      figures: {
        upstream,
        events,
        ms,
        sends,
        firstMs: Math.round(request.firstMs),
        longestPauseMs: Math.round(request.longestPauseMs),
      },
    }, at),
    ...effects,
    { kind: "finish_events", exchangeId, head },
    ...pumpBacklogs(state, at),
  ];
}

function retryRefused(
  state: RelayState,
  event: Event<"attempt_refused">,
): readonly RelayEffect[] {
  const request = current(state, event);
  if (request === undefined) {
    return [];
  }
  const { at, reason } = event;
  const { upstream, requestId, runs, sends, demand, resumption } = request;
  const resumed = resumption !== null;
  const pool = state.pools.get(request.service);
  endAttempt(state, request, { ending: "refused", at });
  if (reason !== "not_executed" && pool !== undefined) {
    // The next list of upstreams opens it again if it is still there.
    closeUpstream(pool, upstream);
  }
  const figures = { upstream, sends, runs };
  if (resumed && reason === "not_executed") {
    const againMs = resumeAgainMs[request.refusedResumptions];
    request.refusedResumptions += 1;
    if (againMs !== undefined && at.monotonic + againMs < request.deadline) {
      const { exchangeId } = request;
      const timer = { kind: "resume_again", exchangeId } as const;
      const due = at.monotonic + againMs;
      return [
        decide(state, {
          kind: "retry",
          subject: requestId,
          reason: "resumption_refused",
          figures,
        }, at),
        count("retries", reason),
        { kind: "set_timer", timer, at: due },
      ];
    }
  }
  const decision = { kind: "retry", subject: requestId, reason, figures };
  const allowed = !resumed && sends < maxSends &&
    at.monotonic < request.deadline && pool?.repeats.spend() === true;
  if (!allowed) {
    state.requests.delete(request.exchangeId);
    const retryAfterMs = state.random.jitter(refusedRetryMs, retryJitter);
    return [
      decide(state, { ...decision, kind: "drop" }, at),
      ...refuse(request, "upstream_refused", retryAfterMs),
      ...pumpBacklogs(state, at),
    ];
  }
  request.phase = "waiting";
  request.demand = { ...demand, avoid: [...(demand.avoid ?? []), upstream] };
  return [
    decide(state, { ...decision, kind: "retry" }, at),
    count("retries", reason),
    ...placeRequest(state, request, at),
  ];
}

/** Asks again for a resumption that was refused. */
export function resumeAgain(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  if (request === undefined || request.resumption === null) {
    return [];
  }
  const { upstream, resumption, refusedResumptions } = request;
  if (refusedResumptions === 0 || !state.upstreams.has(upstream)) {
    return [];
  }
  return startAttempt(state, request, { upstream, resumption, at });
}

function recoverFailed(
  state: RelayState,
  event: Event<"attempt_failed">,
): readonly RelayEffect[] {
  const request = current(state, event);
  if (request === undefined) {
    return [];
  }
  const { at, reason } = event;
  if (request.move?.phase === "stopping") {
    // The engine closes the stream of a generation that it was told to stop.
    request.move = { ...request.move, streamEnded: true };
    return [];
  }
  const resumption = resumeFromCopy(state, request, { reason, at });
  if (resumption !== null) {
    return resumption;
  }
  const repeat = mayRepeat(state, request, at);
  const { upstream, requestId, events } = request;
  request.runs += 1;
  const figures = {
    upstream,
    events,
    runs: request.runs,
    sends: request.sends,
  };
  const dropped = endAttempt(state, request, { ending: "failed", at });
  if (!repeat) {
    state.requests.delete(request.exchangeId);
    return [
      decide(state, { kind: "drop", subject: requestId, reason, figures }, at),
      ...dropped,
      ...refusalOf(request, { error: "upstream_lost", notRun: "unknown" }),
      ...pumpBacklogs(state, at),
    ];
  }
  state.pools.get(request.service)?.repeats.spend();
  request.phase = "waiting";
  const { demand } = request;
  request.demand = { ...demand, avoid: [...(demand.avoid ?? []), upstream] };
  return [
    decide(state, { kind: "retry", subject: requestId, reason, figures }, at),
    count("retries", reason),
    ...dropped,
    ...placeRequest(state, request, at),
  ];
}

/** Whether a request that may have run can be sent to another upstream. */
function mayRepeat(
  state: RelayState,
  { route, runs, sends, phase, deadline, service }: RelayedRequest,
  at: Moment,
): boolean {
  return route.repeatable && !route.streaming && phase !== "streaming" &&
    runs + 1 < route.attempts && sends < maxSends &&
    at.monotonic < deadline &&
    state.pools.get(service)?.repeats.available === true;
}
