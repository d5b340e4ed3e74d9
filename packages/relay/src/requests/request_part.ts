import type { Demand } from "@lavenderferry/policy";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import { memoryRetryMs } from "../memory/memory_retry_ms.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type {
  RelayingFailed,
  RequestEvent,
  RequestReceived,
} from "../relay_event.ts";
import type { Route } from "../routing/routing.ts";
import type { RelayState } from "../state.ts";
import { count, recordDecision, sendFailure } from "../util/effects.ts";
import {
  dropRequest,
  endRequest,
  placeRequest,
  releaseBacklogs,
} from "./place_request.ts";
import { findQuarantine } from "../quarantine/quarantine_part.ts";
import { answerPart } from "./answer_part.ts";
import { assignRequest, isReadyForRequests } from "./refuses_at_once.ts";
import type { RelayedRequest } from "./relayed_request.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import {
  refuseByRouting,
  routingAgeMs,
  takeConfirmed,
} from "./unconfirmed_request.ts";

/**
 * Retry delay for callers while routes or upstreams are not known yet, in
 * milliseconds. A process takes about this long to read the store after it
 * starts. Also used for requests that reach their deadline before they run.
 */
const notReadyRetryMs = 500;

/**
 * Retry delay for callers of a stopping process, in milliseconds. They have the
 * addresses of other processes, so there is nothing to wait for.
 */
const drainingRetryMs = 50;

/** Milliseconds before the stop deadline at which final answers are sent. */
export const finalAnswerMs = 200;

/**
 * Milliseconds of a planned stop in which answers are estimated. Callers that
 * have new addresses after that time are served by other processes.
 */
const estimatedStopMs = 2_800;

/** Relative jitter of retry delays, so that callers do not retry together. */
const retryJitterShare = 0.5;

/** Preemptions per thousand generations that the policy aims for. */
const preemptionsPerThousand = 50;

/** Percentage of a route's requests that must meet its targets. */
const targetPercent = 95;

/** Longest list of block ids in a log line, in characters. */
const maxLoggedBlockChars = 120;

/** Model name in demands of services that run no models. */
const noModel = "";

/** Event handlers for requests, from their arrival to their final answer. */
export const requestPart: EventHandlers<RelayState, RequestEvent, RelayEffect> =
  {
    ...answerPart,
    request_received: receiveRequest,
    caller_disconnected: (state, { exchangeId, at }) => {
      const request = state.requests.get(exchangeId);
      if (request === undefined) {
        state.unconfirmedRequests.delete(exchangeId);
        return [];
      }
      return [
        recordDecision(state, {
          kind: "cancel",
          subject: request.requestId,
          reason: "reader_left",
          figures: { phase: request.phase, events: request.events },
        }, at),
        ...endRequest(state, request, { outcome: "cancelled", at }),
        ...releaseBacklogs(state, at),
      ];
    },
    relaying_failed: endFailedExchange,
    memory_exceeded: (state, { exchangeId, at }) =>
      dropLargeRequest(state, exchangeId, at),
  };

/** Ends a request whose exchange with the caller is already closed. */
function endFailedExchange(
  state: RelayState,
  { exchangeId, effect, detail, at }: Timed<RelayingFailed>,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  state.unconfirmedRequests.delete(exchangeId);
  const effects = request === undefined
    ? []
    : endRequest(state, request, { outcome: "failed", at });
  return [
    recordDecision(state, {
      kind: "drop",
      subject: request?.requestId ?? exchangeId,
      reason: "relaying_failed",
      figures: {
        effect,
        detail,
        upstream: request?.upstream ?? "",
        events: request?.events ?? -1,
      },
    }, at),
    count("refusals", "upstream_invalid"),
    ...effects,
    ...releaseBacklogs(state, at),
  ];
}

/** Ends a request for which the process holds too much. */
function dropLargeRequest(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const reason = "memory_limit";
  const request = state.requests.get(exchangeId);
  const unconfirmed = state.unconfirmedRequests.get(exchangeId);
  if (request !== undefined) {
    const effects = dropRequest(state, request, {
      reason,
      errorIfNotRun: "overloaded",
      errorIfUnknown: "upstream_invalid",
      outcome: "failed",
      retryAfterMs: state.random.jitter(memoryRetryMs, retryJitterShare),
      at,
    });
    return [...effects, ...releaseBacklogs(state, at)];
  }
  if (unconfirmed === undefined) {
    return [];
  }
  state.unconfirmedRequests.delete(exchangeId);
  const subject = unconfirmed.event.requestId;
  return [
    recordDecision(state, { kind: "refuse", subject, reason, figures: {} }, at),
    ...sendFailure(exchangeId, {
      error: "overloaded",
      notRun: true,
      retryAfterMs: state.random.jitter(memoryRetryMs, retryJitterShare),
    }),
  ];
}

/** Fails a request that has reached its deadline. */
export function expireRequest(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  if (request === undefined) {
    return [];
  }
  const effects = dropRequest(state, request, {
    reason: "deadline_passed",
    errorIfNotRun: "no_upstream",
    errorIfUnknown: "upstream_timeout",
    outcome: "failed",
    retryAfterMs: notReadyRetryMs,
    at,
  });
  return [...effects, ...releaseBacklogs(state, at)];
}

/** Receives the requests that have waited for the routing to be confirmed. */
export function receiveConfirmed(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  return takeConfirmed(state, at)
    .flatMap((event) => receiveRequest(state, { ...event, at }));
}

function receiveRequest(
  state: RelayState,
  event: Timed<RequestReceived>,
): readonly RelayEffect[] {
  const { exchangeId, requestId, host, path, contentDigest, at } = event;
  state.lastRequestAt = at.monotonic;
  const version = state.routeTable?.routing.version ?? 0;
  if (!isReadyForRequests(state)) {
    return refuseNotReady(state, event);
  }
  const assignment = assignRequest(state, event);
  if ("error" in assignment) {
    const { error } = assignment;
    const ageMs = routingAgeMs(state, at);
    const figures = { version, ageMs, host, path };
    return refuseByRouting(state, event, { error, figures });
  }
  if (contentDigest === null) {
    // The routing has changed since the request was received.
    return refuseNotReady(state, event);
  }
  const { route } = assignment;
  const request = createRequest(state, event, { ...assignment, contentDigest });
  const quarantine = findQuarantine(state, request, at);
  if (quarantine !== undefined) {
    const retryAfterMs = quarantine.deadline - at.monotonic;
    const blocks = quarantine.blocks.join(",").slice(0, maxLoggedBlockChars);
    const figures = { blocks, retryAfterMs: Math.round(retryAfterMs) };
    return [
      recordDecision(state, {
        kind: "refuse",
        subject: requestId,
        reason: "request_quarantined",
        figures,
      }, at),
      ...sendFailure(exchangeId, {
        error: "request_quarantined",
        notRun: true,
        retryAfterMs,
      }),
    ];
  }
  if (state.stopping && !endsBeforeStop(state, request)) {
    return [
      recordDecision(state, {
        kind: "refuse",
        subject: requestId,
        reason: "draining",
        figures: { route: route.name, stopsInMs: stopsInMs(state, at) },
      }, at),
      ...sendFailure(exchangeId, {
        error: "draining",
        notRun: true,
        retryAfterMs: state.random.jitter(drainingRetryMs, retryJitterShare),
      }),
    ];
  }
  state.requests.set(exchangeId, request);
  const timer = { kind: "request_deadline", exchangeId } as const;
  return [
    count("requests", route.name),
    recordDecision(state, {
      kind: "admit",
      subject: requestId,
      reason: route.name,
      figures: {
        version,
        service: request.service,
        workspace: request.workspace ?? "",
        budgetMs: event.budgetMs ?? -1,
        promptTokens: request.demand.promptTokens,
        fingerprint: request.fingerprint,
        blocks: request.sharedBlocks.join(",").slice(0, maxLoggedBlockChars),
        stopsInMs: stopsInMs(state, at),
      },
    }, at),
    { kind: "set_timer", timer, at: request.deadline },
    ...placeRequest(state, request, at),
  ];
}

/** Refuses a request until routes and upstreams are known. */
function refuseNotReady(
  state: RelayState,
  { exchangeId, requestId, at }: Timed<RequestReceived>,
): readonly RelayEffect[] {
  return [
    recordDecision(state, {
      kind: "refuse",
      subject: requestId,
      reason: "not_ready",
      figures: { version: state.routeTable?.routing.version ?? 0 },
    }, at),
    ...sendFailure(exchangeId, {
      error: "not_ready",
      notRun: true,
      retryAfterMs: state.random.jitter(notReadyRetryMs, retryJitterShare),
    }),
  ];
}

/**
 * Whether a request ends before a stopping process exits: at its own deadline
 * or, soon after the stop, because no recent answer of its route took as long as
 * is left. A slow answer would be cut, so later only the deadline counts.
 */
function endsBeforeStop(
  { answerTimes, stopDeadline, settings }: RelayState,
  { route, demand, deadline }: RelayedRequest,
): boolean {
  const { arrivedAt, maxTokens } = demand;
  const lastAnswerAt = stopDeadline - finalAnswerMs;
  const stopRequestedAt = stopDeadline - settings.stopMs;
  if (
    deadline <= lastAnswerAt || arrivedAt > stopRequestedAt + estimatedStopMs
  ) {
    return deadline <= lastAnswerAt;
  }
  const boundMs = answerTimes.get(route.name)?.boundMs(maxTokens) ?? Infinity;
  return arrivedAt + boundMs <= lastAnswerAt;
}

/** Milliseconds until the process exits; -1 if no stop is planned. */
function stopsInMs({ stopping, stopDeadline }: RelayState, at: Moment): number {
  return stopping ? Math.round(stopDeadline - at.monotonic) : -1;
}

function createRequest(
  state: RelayState,
  event: RequestReceived,
  { route, workspace, contentDigest }: {
    readonly route: Route;
    readonly workspace: string | null;
    readonly contentDigest: string;
  },
): RelayedRequest {
  const { exchangeId, requestId, budgetMs, arrivedAt } = event;
  const allowedMs = Math.min(route.timeoutMs, budgetMs ?? Infinity);
  return {
    exchangeId,
    requestId,
    route,
    service: chooseService(state, route),
    workspace,
    urgency: event.generation === null
      ? null
      : chooseUrgency(state, route, workspace),
    fingerprint: fingerprintOf(contentDigest, workspace ?? event.key ?? ""),
    isForwarded: event.isForwarded,
    peers: [],
    sharedBlocks: event.generation?.sharedBlocks ?? [],
    demand: createDemand(event, route, workspace),
    deadline: arrivedAt + allowedMs,
    phase: "waiting",
    attemptId: "",
    upstream: "",
    runs: 0,
    sends: 0,
    events: 0,
    lastEventId: null,
    copyUpstream: null,
    move: null,
    stop: "none",
    keptHandle: null,
    streamEnd: null,
    sentAt: arrivedAt,
    firstEventAt: null,
    terminationNoticeAt: 0,
    countedNoticeAt: 0,
    moveAllowedAt: null,
    departure: null,
    firstEventMs: 0,
    longestPauseMs: 0,
    resumption: null,
    refusedResumptions: 0,
    isStopped: false,
    lastProgressAt: arrivedAt,
  };
}

/**
 * Returns how urgent a generation is to its engine. Where all relays exchange with
 * each other, none is stated: engines are fuller there than the relays know, and
 * preempted generations for urgent ones.
 */
function chooseUrgency(
  { fleet, routeTable }: RelayState,
  route: Route,
  workspace: string | null,
): number | null {
  return fleet.exchangesWithAll
    ? null
    : routeTable?.urgencyOf(route, workspace) ?? null;
}

function createDemand(
  { exchangeId, generation, arrivedAt }: RequestReceived,
  route: Route,
  workspace: string | null,
): Demand {
  return {
    // Request ids are chosen by callers and may not be unique.
    requestId: exchangeId,
    workspace: workspace ?? "",
    workClass: route.name,
    model: generation?.model ?? noModel,
    promptTokens: generation?.promptTokens ?? 0,
    maxTokens: generation?.maxTokens ?? 0,
    prefix: generation?.prefix ?? [],
    targets: {
      firstTokenMs: route.targetMs,
      betweenTokensMs: Math.max(1, route.pauseTargetMs),
      stallMs: route.pauseTargetMs,
      preemptionsPerThousand,
      completionMs: route.timeoutMs,
      percent: targetPercent,
    },
    arrivedAt,
  };
}

function chooseService(state: RelayState, { services }: Route): string {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = state.random.fraction() * total;
  for (const { service, weight } of services) {
    remaining -= weight;
    if (remaining < 0) {
      return service;
    }
  }
  return services[0]?.service ?? "";
}
