import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type { RequestEvent } from "../relay_event.ts";
import type { Move, RelayedRequest } from "../requests/relayed_request.ts";
import { mayBeStopped, stopAnswered } from "../requests/stop_state.ts";
import type { RelayState } from "../state.ts";
import { isDeparting, isEvacuated } from "../upstreams/evacuations.ts";
import { count, recordDecision } from "../util/effects.ts";
import { hasCompleteCopy, scheduleDeparture } from "./departure.ts";
import {
  decideDeparture,
  expectedMoveMs,
  listCopiedRequestIds,
} from "./departure_plan.ts";
import { mustStopAtOnce } from "./departure_schedule.ts";
import { copyAgain, requestCopy } from "./request_copy.ts";
import {
  contextTokens,
  moveReservationId,
  releaseMove,
  reserveMemory,
} from "./reserve_memory.ts";
import { mustStopUnstarted, restartStopped } from "./restart_generation.ts";
import { countBegun, countCopy } from "./rescue_counts.ts";
import { resumeFromCopy, resumeStopped } from "./resume_generation.ts";
import { hasEndedWhole, settleEnd } from "./settle_end.ts";
import { isSilent, mayRunOn, stopBeforeResumption } from "./silence.ts";
import { moveDelayMs } from "./move_delay.ts";
import { awaitResumption } from "./stopped_generation.ts";

type GenerationCopied = Extract<RequestEvent, { kind: "generation_copied" }>;
type CopyChecked = Extract<RequestEvent, { kind: "copy_checked" }>;
type RunChecked = Extract<RequestEvent, { kind: "run_checked" }>;
type RunsListed = Extract<RequestEvent, { kind: "runs_listed" }>;

/**
 * Smallest share of a generation's tokens that an engine must report as kept
 * for its copy to count as present. Copies lag behind by the tokens generated
 * in a few hundred milliseconds.
 */
const minKeptShare = 0.8;

/**
 * Milliseconds until a move that found no engine is retried. This allows about
 * ten attempts in the one and a half seconds after a termination notice.
 */
const moveRetryMs = 150;

/** The same for a move whose turn has come: the link waits for it. */
const scheduledRetryMs = 50;

/**
 * Engines that may refuse a stopped generation before it is resumed where it
 * was. Its caller receives no events in the meantime.
 */
const maxRefusalsAfterStop = 2;

/**
 * Number of engines compared when the target of a move is chosen. Bounds the
 * time that the choice takes.
 */
const moveCandidates = 8;

/** Event handlers that move generations off engines that are leaving. */
export const movePart: EventHandlers<
  RelayState,
  GenerationCopied | CopyChecked | RunChecked | RunsListed,
  RelayEffect
> = {
  copy_checked: (state, event) => handleCopyCheck(state, event),
  generation_copied: (state, event) => handleCopyOutcome(state, event),
  run_checked: (state, event) => handleRunCheck(state, event),
  runs_listed: (state, event) => scheduleMove(state, event),
};

/**
 * Takes a generation off an engine that is leaving: resumes it from its
 * copy, or moves it to another engine. Called by the `depart` timer.
 */
export function depart(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  const isLeaving = isDeparting(state, request?.upstream ?? "");
  if (
    request === undefined || request.phase === "waiting" || !isLeaving ||
    request.move !== null || request.isStopped
  ) {
    return [];
  }
  const copy = state.upstreams.get(request.copyUpstream ?? "");
  if (copy === undefined || !hasCompleteCopy(request, at)) {
    return moveWhenDue(state, request, at);
  }
  const { attemptId } = request;
  const { address } = copy;
  return [{ kind: "check_copy", attemptId, exchangeId, address }];
}

/**
 * Resumes a generation from its copy if the engine still keeps that copy.
 * Engines that run out of memory drop copies, and a generation that was stopped
 * for a dropped copy would be lost.
 */
function handleCopyCheck(
  state: RelayState,
  event: Timed<CopyChecked>,
): readonly RelayEffect[] {
  const { exchangeId, attemptId, report, at } = event;
  const { keptTokens, detail } = report;
  const request = state.requests.get(exchangeId);
  const pool = state.pools.get(request?.service ?? "");
  if (
    request === undefined || pool === undefined || request.move !== null ||
    request.attemptId !== attemptId
  ) {
    return [];
  }
  const tokens = contextTokens(pool, request);
  if (keptTokens !== null && keptTokens >= minKeptShare * tokens) {
    const source = state.upstreams.get(request.upstream);
    if (isSilent(request, at) && source !== undefined) {
      const { address } = source;
      return [{ kind: "check_run", attemptId, exchangeId, address }];
    }
    const reason = "leaving";
    const effects = resumeFromCopy(state, request, { reason, report, at });
    if (effects !== null) {
      return effects;
    }
  }
  const { requestId: subject, copyUpstream } = request;
  const figures = {
    copy: copyUpstream ?? "",
    keptTokens: keptTokens ?? -1,
    tokens,
    detail,
  };
  const reason = "copy_missing";
  return [
    recordDecision(state, { kind: "retry", subject, reason, figures }, at),
    countCopy("missing"),
    ...moveWhenDue(state, request, at),
  ];
}

/**
 * Resumes a generation without events from its copy, but stops it first if its
 * engine goes on with it, or does not report.
 */
function handleRunCheck(
  state: RelayState,
  { exchangeId, attemptId, report, at }: Timed<RunChecked>,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  if (request?.attemptId !== attemptId || request.move !== null) {
    return [];
  }
  if (!isSilent(request, at)) {
    return [scheduleDeparture(exchangeId, at.monotonic)];
  }
  if (mayRunOn(request, report)) {
    return stopBeforeResumption(state, request, at);
  }
  const reason = "leaving";
  return resumeFromCopy(state, request, { reason, at }) ??
    [retryDeparture(request, at)];
}

/**
 * Starts the move of a generation once its delay has passed. If the delay is
 * not known yet, lists the engine's generations to compute it.
 */
function moveWhenDue(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const { exchangeId, attemptId, upstream, moveAllowedAt } = request;
  const source = state.upstreams.get(upstream);
  if (moveAllowedAt === null && source !== undefined) {
    const { address } = source;
    return [{ kind: "list_runs", attemptId, exchangeId, address }];
  }
  if (moveAllowedAt !== null && moveAllowedAt > at.monotonic) {
    return [scheduleDeparture(exchangeId, moveAllowedAt)];
  }
  return startMoveOrRetry(state, request, at);
}

function scheduleMove(
  state: RelayState,
  { exchangeId, attemptId, report, at }: Timed<RunsListed>,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  if (request?.attemptId !== attemptId || request.move !== null) {
    return [];
  }
  const { tokensPerMs } = state.copyRate;
  const copiedIds = listCopiedRequestIds(state, request.upstream, at);
  const runs = report.runs.filter((run) => !copiedIds.has(run.requestId));
  // Its own copy is missing, or it would not need a move.
  const movedRuns = report.runs.filter((run) =>
    run.requestId === request.requestId || !copiedIds.has(run.requestId)
  );
  const decision = decideDeparture(state, request, {
    report,
    runs: movedRuns,
    at,
  });
  if (decision?.kind === "wait") {
    return decision.effects;
  }
  request.moveAllowedAt = at.monotonic +
    (decision?.kind === "move"
      ? 0
      : moveDelayMs(request.requestId, runs, tokensPerMs));
  return [
    ...decision?.effects ?? [],
    ...moveWhenDue(state, request, at),
  ];
}

/** Starts a move, or schedules a retry where none is possible yet. */
function startMoveOrRetry(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const { service } = request;
  if (state.pools.get(service)?.service.engines?.moves !== true) {
    return [];
  }
  const move = startMove(state, request, {
    excludedEngines: [],
    stop: false,
    at,
  });
  // Nothing has been generated yet, or no engine has room. Either may change.
  return move ?? [retryDeparture(request, at)];
}

/** Schedules another departure after one that was not possible. */
export function retryDeparture(
  { exchangeId, departure }: RelayedRequest,
  at: Moment,
): RelayEffect {
  const delayMs = departure === null ? moveRetryMs : scheduledRetryMs;
  return scheduleDeparture(exchangeId, at.monotonic + delayMs);
}

/**
 * Reserves memory at another engine and requests a copy to it. Returns `null`
 * if no other engine has room or nothing has been generated yet.
 */
function startMove(
  state: RelayState,
  request: RelayedRequest,
  { excludedEngines, stop, at }: {
    readonly excludedEngines: readonly string[];
    readonly stop: boolean;
    readonly at: Moment;
  },
): readonly RelayEffect[] | null {
  const { service, upstream, copyUpstream, demand, attemptId } = request;
  const pool = state.pools.get(service);
  const source = state.upstreams.get(upstream);
  if (pool === undefined || source === undefined) {
    return null;
  }
  const stopsUnstarted = mustStopUnstarted(request, at);
  const to = request.events === 0 && !stopsUnstarted
    ? null
    : pool.dispatcher.chooseTransferTarget({
      ...demand,
      promptTokens: contextTokens(pool, request),
      excludedEngines: [
        ...excludedEngines,
        upstream,
        ...(copyUpstream === null ? [] : [copyUpstream]),
      ],
    }, {
      preferredDataCentre: source.dataCentre,
      preferredEngines: request.departure?.targets ?? [],
      maxCandidates: moveCandidates,
      at,
    });
  const target = state.upstreams.get(to ?? "");
  if (to === null || target === undefined) {
    return null;
  }
  const tokens = contextTokens(pool, request);
  const moveMs = expectedMoveMs(state, request, { to: target, tokens });
  const leavesMs = (request.departure?.leavesAt ?? Infinity) - at.monotonic;
  // A copy beside the run is of no use if the run may be stopped at any time.
  const stopsNow = stop || stopsUnstarted || mayBeStopped(request.stop) ||
    mustStopAtOnce(leavesMs, moveMs);
  const generationId = moveReservationId(attemptId);
  // The existing copy is kept to resume the generation if the move fails.
  releaseMove(state, request, at);
  reserveMemory(pool, request, { generationId, engine: to, at });
  const move: Move = {
    to,
    phase: stopsNow ? "stopping" : "copying",
    copyRequestedAt: at.monotonic,
    copyCount: 1,
    excludedEngines,
    hasCopy: false,
  };
  request.move = move;
  const figures = {
    from: upstream,
    upstream: to,
    events: request.events,
    stop: stopsNow,
  };
  return [
    recordDecision(state, {
      kind: "choose",
      subject: request.requestId,
      reason: "move",
      figures,
    }, at),
    ...countBegun(request),
    requestCopy(state, request, move),
  ];
}

function handleCopyOutcome(
  state: RelayState,
  event: Timed<GenerationCopied>,
): readonly RelayEffect[] {
  const { exchangeId, attemptId, outcome, at } = event;
  const request = state.requests.get(exchangeId);
  const pool = state.pools.get(request?.service ?? "");
  const move = request?.move ?? null;
  if (
    request === undefined || pool === undefined || move === null ||
    request.attemptId !== attemptId
  ) {
    return [];
  }
  if (move.phase === "stopping") {
    const hasBegun = request.firstEventAt !== null;
    request.stop = stopAnswered(request.stop, outcome, { hasBegun });
    request.keptHandle = ("handle" in outcome ? outcome.handle : null) ??
      request.keptHandle;
  }
  if (
    move.hasCopy && outcome.kind !== "copied" && outcome.kind !== "busy" &&
    !hasEndedWhole(request)
  ) {
    // It was asked to stop, runs no more, or its engine is out of reach.
    const reason = "leaving";
    const effects = resumeFromCopy(state, request, { reason, at });
    if (effects !== null) {
      return effects;
    }
  }
  if (outcome.kind === "copied" && isEvacuated(state, move.to)) {
    const { handle } = outcome;
    const detail = "evacuated";
    return moveElsewhere(state, request, { move, handle, detail, at });
  }
  switch (outcome.kind) {
    case "copied":
      if (move.copyCount === 1) {
        const tokens = contextTokens(pool, request);
        state.copyRate.observe(tokens, at.monotonic - move.copyRequestedAt);
      }
      return move.phase === "stopping"
        ? resumeStopped(state, request, {
          to: move.to,
          handle: outcome.handle,
          reason: "moved",
          at,
        })
        : copyAgain(state, request, { move, at });
    case "no_room":
      return moveElsewhere(state, request, { move, ...outcome, at });
    case "busy":
      if (request.streamEnd !== null || request.keptHandle !== null) {
        return failMove(state, request, { move, reason: outcome.kind, at });
      }
      releaseMove(state, request, at);
      return [retryDeparture(request, at)];
    case "not_running":
      return failMove(state, request, { move, reason: outcome.kind, at });
    case "unreachable":
    case "unknown": {
      const { kind: reason, detail } = outcome;
      return failMove(state, request, { move, reason, detail, at });
    }
  }
}

/**
 * Moves a generation to another engine after the first one had no room. If it
 * is already stopped and no other engine has room, it is resumed at the engine
 * where it ran, which still keeps its memory, unless that one is evacuated.
 */
function moveElsewhere(
  state: RelayState,
  request: RelayedRequest,
  { move, handle, detail, events, at }: {
    readonly move: Move;
    readonly handle: string | null;
    readonly detail: string;
    /** Events that the stopped engine has generated; absent: unknown. */
    readonly events?: number;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const stop = move.phase === "stopping";
  const excludedEngines = [...move.excludedEngines, move.to];
  if (!stop) {
    releaseMove(state, request, at);
    return startMove(state, request, { excludedEngines, stop, at }) ??
      [retryDeparture(request, at)];
  }
  if (handle === null) {
    return failMove(state, request, { move, reason: "no_room", detail, at });
  }
  const next = move.excludedEngines.length < maxRefusalsAfterStop
    ? startMove(state, request, { excludedEngines, stop, at })
    : null;
  if (next !== null) {
    return next;
  }
  const restartEffects = restartStopped(state, request, { events, at });
  if (restartEffects !== null) {
    return restartEffects;
  }
  return resumeAtSource(state, request, { handle, at });
}

/** Resumes a stopped generation where it ran, unless that engine is evacuated. */
function resumeAtSource(
  state: RelayState,
  request: RelayedRequest,
  { handle, at }: { readonly handle: string; readonly at: Moment },
): readonly RelayEffect[] {
  if (isEvacuated(state, request.upstream)) {
    return awaitResumption(state, request, { handle, at });
  }
  const to = request.upstream;
  return [
    ...resumeStopped(state, request, { to, handle, reason: "no_room", at }),
    // Its engine is still leaving, so another departure is due.
    retryDeparture(request, at),
  ];
}

/**
 * Handles a failed move. A run whose memory its engine is known to keep goes on
 * there. While the stream has not ended, the generation may still be running and is
 * moved again; the end of one that its engine does not know may have been lost.
 */
function failMove(
  state: RelayState,
  request: RelayedRequest,
  { move, reason, detail = "", at }: {
    readonly move: Move;
    readonly reason: string;
    /** Message of the failed call, for the log. */
    readonly detail?: string;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { requestId, upstream, events } = request;
  const { to, phase } = move;
  const figures = {
    upstream,
    to,
    events,
    phase,
    stop: request.stop,
    outcome: reason,
    detail,
  };
  const { keptHandle: handle } = request;
  const isAnswered = reason !== "unknown" && reason !== "unreachable";
  if (isAnswered && handle !== null) {
    // The run is stopped, whether or not the end of its stream has arrived.
    return resumeAtSource(state, request, { handle, at });
  }
  const hasEnded = request.streamEnd !== null ||
    (reason === "not_running" && isSilent(request, at));
  if (!hasEnded) {
    releaseMove(state, request, at);
    return [
      recordDecision(
        state,
        { kind: "retry", subject: requestId, reason, figures },
        at,
      ),
      count("retries", reason),
      retryDeparture(request, at),
    ];
  }
  return settleEnd(state, request, { figures, at });
}
