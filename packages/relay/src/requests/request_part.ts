import type { ErrorKind } from "@lavenderferry/errors";
import type { Demand } from "@lavenderferry/policy";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RequestEvent, RequestReceived } from "../relay_event.ts";
import type { Route } from "../routing/routing.ts";
import type { RelayState } from "../state.ts";
import { count, decide, fail } from "../util/effects.ts";
import {
  endRequest,
  placeRequest,
  pumpBacklogs,
  refusalOf,
} from "./place_request.ts";
import { answerPart } from "./answer_part.ts";
import type { RelayedRequest } from "./relayed_request.ts";

/**
 * Milliseconds after which a caller asks again while nothing is known: about
 * what a process needs to read the store after its start.
 */
const notReadyRetryMs = 500;

/** Share by which that varies, so that callers do not return together. */
const retryJitter = 0.5;

/** Preemptions for a thousand generations that the policy aims at. */
const preemptionsPerThousand = 50;

/** Share of the requests of a route that must meet its targets, in percent. */
const targetPercent = 95;

/** Model of services that run no models. */
const noModel = "";

/** Takes requests from callers. */
export const requestPart: EventHandlers<RelayState, RequestEvent, RelayEffect> =
  {
    ...answerPart,
    request_received: receiveRequest,
    request_left: (state, { exchangeId, at }) => {
      const request = state.requests.get(exchangeId);
      if (request === undefined) {
        return [];
      }
      return [
        decide(state, {
          kind: "cancel",
          subject: request.requestId,
          reason: "reader_left",
          figures: { phase: request.phase, events: request.events },
        }, at),
        ...endRequest(state, request, { ending: "cancelled", at }),
        ...pumpBacklogs(state, at),
      ];
    },
  };

/** Gives a request its final answer when its time is over. */
export function expireRequest(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  if (request === undefined) {
    return [];
  }
  const { phase, runs } = request;
  const unrun = phase === "waiting" && runs === 0;
  const error: ErrorKind = unrun ? "no_upstream" : "upstream_timeout";
  return [
    decide(state, {
      kind: "drop",
      subject: request.requestId,
      reason: "deadline_passed",
      figures: { phase, runs, upstream: request.upstream },
    }, at),
    ...endRequest(state, request, { ending: "failed", at }),
    ...refusalOf(request, {
      error,
      notRun: unrun ? true : "unknown",
      ...(unrun ? { retryAfterMs: notReadyRetryMs } : {}),
    }),
    ...pumpBacklogs(state, at),
  ];
}

function receiveRequest(
  state: RelayState,
  event: Timed<RequestReceived>,
): readonly RelayEffect[] {
  const { exchangeId, requestId, host, path, at } = event;
  state.lastRequestAt = at.monotonic;
  const { routes } = state;
  if (routes === null || !state.upstreamsKnown) {
    return [
      decide(state, {
        kind: "refuse",
        subject: requestId,
        reason: "not_ready",
        figures: { version: routes?.routing.version ?? 0 },
      }, at),
      ...fail(exchangeId, {
        error: "not_ready",
        notRun: true,
        retryAfterMs: state.random.jitter(notReadyRetryMs, retryJitter),
      }),
    ];
  }
  const { version } = routes.routing;
  const route = routes.find(host, path);
  const workspace = routes.workspaceOf(event.key ?? "");
  const unknownKey = routes.keyed && workspace === undefined;
  if (route === undefined || (unknownKey && !route.keyless)) {
    const error = route === undefined ? "not_found" : "unauthenticated";
    const figures = { version, host, path: path.slice(0, 64) };
    return [
      decide(
        state,
        { kind: "refuse", subject: requestId, reason: error, figures },
        at,
      ),
      ...fail(exchangeId, { error, notRun: true }),
    ];
  }
  const request = createRequest(state, event, {
    route,
    workspace: workspace ?? null,
  });
  state.requests.set(exchangeId, request);
  const timer = { kind: "request_deadline", exchangeId } as const;
  return [
    count("requests", route.name),
    decide(state, {
      kind: "admit",
      subject: requestId,
      reason: route.name,
      figures: {
        version,
        service: request.service,
        workspace: request.workspace ?? "",
        budgetMs: event.budgetMs ?? -1,
        promptTokens: request.demand.promptTokens,
      },
    }, at),
    { kind: "set_timer", timer, at: request.deadline },
    ...placeRequest(state, request, at),
  ];
}

function createRequest(
  state: RelayState,
  event: RequestReceived,
  { route, workspace }: {
    readonly route: Route;
    readonly workspace: string | null;
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
    demand: demandOf(event, route, workspace),
    deadline: arrivedAt + allowedMs,
    phase: "waiting",
    attemptId: "",
    upstream: "",
    runs: 0,
    sends: 0,
    events: 0,
    lastEventId: null,
    copyAt: null,
    move: null,
    firstEventAt: null,
    noticedAt: 0,
    turnAt: null,
    firstMs: 0,
    longestPauseMs: 0,
    resumption: null,
    refusedResumptions: 0,
    progressedAt: arrivedAt,
  };
}

function demandOf(
  { exchangeId, generation, arrivedAt }: RequestReceived,
  route: Route,
  workspace: string | null,
): Demand {
  return {
    // The caller chooses the request's id, so it may not be unique.
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
  let place = state.random.fraction() * total;
  for (const { service, weight } of services) {
    place -= weight;
    if (place < 0) {
      return service;
    }
  }
  return services[0]?.service ?? "";
}
