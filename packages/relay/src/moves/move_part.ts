import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { RelayEffect, Resumption } from "../relay_effect.ts";
import type { EngineReport, RequestEvent } from "../relay_event.ts";
import {
  endAttempt,
  holdMemory,
  memoryOf,
  moveOf,
  pumpBacklogs,
  refusalOf,
  releaseMove,
  startAttempt,
} from "../requests/place_request.ts";
import type { Move, RelayedRequest } from "../requests/relayed_request.ts";
import type { RelayState } from "../state.ts";
import { count, decide } from "../util/effects.ts";
import { turnOf } from "./move_turn.ts";

type Copied = Extract<RequestEvent, { kind: "generation_copied" }>;
type Checked = Extract<RequestEvent, { kind: "copy_checked" }>;
type Listed = Extract<RequestEvent, { kind: "runs_listed" }>;

/**
 * Share of a generation's tokens that an engine has to keep for a copy to be
 * believed there: copies lag by what was generated in some hundred ms.
 */
const leastKept = 0.8;

/**
 * Milliseconds from a notice until a generation goes on at its copy. Short
 * ones end by themselves in that time.
 */
const switchMs = 300;

/**
 * Milliseconds from the first event until a copy is taken to be complete. A
 * prompt of 5,000 tokens takes half a second between two data centres, and
 * those of generations that left an engine together queue on its link.
 */
const copyMs = 2_500;

/**
 * Milliseconds from a notice for which an incomplete copy is waited for: a
 * move takes the rest of the one and a half seconds that engines run on.
 */
const patienceMs = 1_000;

/**
 * Milliseconds until a move that found no engine is tried again: some ten
 * times in the one and a half seconds of a notice.
 */
const againMs = 150;

/**
 * Milliseconds from a notice within which a copy is made again before the
 * generation stops: what was generated since makes callers wait.
 */
const recopyMs = 600;

/** Copies that are made while a generation runs on. */
const maxCopies = 2;

/** Engines that refuse a stopped generation, whose caller waits meanwhile. */
const maxRefusals = 2;

/**
 * Milliseconds below which a copy left little to copy again: some ten tokens
 * are made in each hundred, which a link carries in one.
 */
const quickCopyMs = 400;

/** Engines that are weighed for a move; bounds the time that it takes. */
const moveCandidates = 8;

/** Moves generations between engines. */
export const movePart: EventHandlers<
  RelayState,
  Copied | Checked | Listed,
  RelayEffect
> = {
  copy_checked: (state, event) => useCopy(state, event),
  generation_copied: (state, event) => continueMove(state, event),
  runs_listed: (state, event) => takeTurn(state, event),
};

/** Begins to take a generation off an engine that leaves. */
export function beginEvacuation(
  request: RelayedRequest,
  at: Moment,
): RelayEffect {
  const { copyAt, exchangeId, firstEventAt } = request;
  const now = at.monotonic;
  request.noticedAt = now;
  request.turnAt = null;
  const complete = (firstEventAt ?? Infinity) + copyMs;
  const due = copyAt === null || complete > now + patienceMs
    ? now
    : Math.max(now + switchMs, complete);
  return evacuateAt(exchangeId, due);
}

/** Takes a generation off an engine that leaves, to its copy or to a new one. */
export function evacuate(
  state: RelayState,
  exchangeId: string,
  at: Moment,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  const leaving = !isOpen(state, request?.upstream ?? "");
  if (
    request === undefined || request.phase === "waiting" || !leaving ||
    request.move !== null
  ) {
    return [];
  }
  const copy = state.upstreams.get(request.copyAt ?? "");
  if (copy === undefined || !isCopied(request, at)) {
    return moveInTurn(state, request, at);
  }
  const { attemptId } = request;
  const { address } = copy;
  return [{ kind: "check_copy", attemptId, exchangeId, address }];
}

/**
 * Goes on at a copy that is there. An engine without room drops copies, and
 * a generation that was stopped for one of those would be lost.
 */
function useCopy(
  state: RelayState,
  event: Timed<Checked>,
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
  const tokens = memoryOf(pool, request);
  if (keptTokens !== null && keptTokens >= leastKept * tokens) {
    const reason = "leaving";
    const resumed = resumeFromCopy(state, request, { reason, report, at });
    if (resumed !== null) {
      return resumed;
    }
  }
  const { requestId: subject, copyAt } = request;
  const figures = {
    copy: copyAt ?? "",
    keptTokens: keptTokens ?? -1,
    tokens,
    detail,
  };
  const reason = "copy_missing";
  return [
    decide(state, { kind: "retry", subject, reason, figures }, at),
    ...moveInTurn(state, request, at),
  ];
}

/** Moves a generation once those that go before it had their time. */
function moveInTurn(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const { exchangeId, attemptId, upstream, turnAt } = request;
  const source = state.upstreams.get(upstream);
  if (turnAt === null && source !== undefined) {
    const { address } = source;
    return [{ kind: "list_runs", attemptId, exchangeId, address }];
  }
  if (turnAt !== null && turnAt > at.monotonic) {
    return [evacuateAt(exchangeId, turnAt)];
  }
  return moveOrWait(state, request, at);
}

function takeTurn(
  state: RelayState,
  { exchangeId, attemptId, report, at }: Timed<Listed>,
): readonly RelayEffect[] {
  const request = state.requests.get(exchangeId);
  if (request?.attemptId !== attemptId || request.move !== null) {
    return [];
  }
  const { tokensPerMs } = state.copyRate;
  const leaving = copiedAt(state, request.upstream, at);
  const runs = report.runs.filter((run) => !leaving.has(run.requestId));
  request.turnAt = at.monotonic + turnOf(request.requestId, runs, tokensPerMs);
  return moveInTurn(state, request, at);
}

/** Returns the ids of the generations that leave an engine for their copy. */
function copiedAt(
  state: RelayState,
  upstream: string,
  at: Moment,
): ReadonlySet<string> {
  const ids = new Set<string>();
  for (const request of state.requests.values()) {
    if (request.upstream === upstream && isCopied(request, at)) {
      ids.add(request.requestId);
    }
  }
  return ids;
}

/** Whether a generation's copy had the time to be complete. */
function isCopied(
  { copyAt, firstEventAt }: RelayedRequest,
  at: Moment,
): boolean {
  return copyAt !== null && firstEventAt !== null &&
    firstEventAt + copyMs <= at.monotonic;
}

/**
 * Goes on with a generation at the engine that keeps a copy of its memory.
 * The former attempt's connection is closed first, so that its engine stops.
 */
export function resumeFromCopy(
  state: RelayState,
  request: RelayedRequest,
  { reason, report = null, at }: {
    readonly reason: string;
    /** What the engine with the copy said; `null`: it was not asked. */
    readonly report?: EngineReport | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] | null {
  const { copyAt, lastEventId, requestId } = request;
  const vm = copyAt === null ? undefined : state.upstreams.get(copyAt);
  if (copyAt === null || vm === undefined) {
    return null;
  }
  const resumption = { address: vm.address, handle: requestId, lastEventId };
  const ending = reason === "leaving" ? "cancelled" : "failed";
  return resume(state, request, {
    to: copyAt,
    resumption,
    reason,
    ending,
    report,
    at,
  });
}

function resume(
  state: RelayState,
  request: RelayedRequest,
  options: {
    readonly to: string;
    readonly resumption: Resumption;
    readonly reason: string;
    readonly ending: "cancelled" | "failed";
    readonly report: EngineReport | null;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { to: upstream, resumption, reason, ending, report, at } = options;
  const { upstream: from, events, requestId, lastEventId } = request;
  const ageMs = Math.round(at.monotonic - (request.firstEventAt ?? NaN));
  const dropped = endAttempt(state, request, { ending, at });
  const after = lastEventId ?? "";
  const figures = {
    from,
    upstream,
    events,
    after,
    ageMs,
    keptTokens: report?.keptTokens ?? -1,
    freeTokens: report?.freeTokens ?? -1,
  };
  return [
    decide(state, { kind: "resume", subject: requestId, reason, figures }, at),
    count("resumptions", reason),
    ...dropped,
    ...startAttempt(state, request, { upstream, resumption, at }),
  ];
}

/** Begins a move; tries again where that can not be yet. */
function moveOrWait(
  state: RelayState,
  request: RelayedRequest,
  at: Moment,
): readonly RelayEffect[] {
  const { exchangeId, service } = request;
  if (state.pools.get(service)?.service.engines?.moves !== true) {
    return [];
  }
  const move = startMove(state, request, { avoid: [], stop: false, at });
  // Nothing was generated yet, or no engine has room: both may change.
  return move ?? [evacuateAgain(exchangeId, at)];
}

function evacuateAgain(exchangeId: string, at: Moment): RelayEffect {
  return evacuateAt(exchangeId, at.monotonic + againMs);
}

function evacuateAt(exchangeId: string, due: number): RelayEffect {
  const timer = { kind: "evacuate", exchangeId } as const;
  return { kind: "set_timer", timer, at: due };
}

/** Has the engine copy a generation; `null` where no other has room. */
function startMove(
  state: RelayState,
  request: RelayedRequest,
  { avoid, stop, at }: {
    readonly avoid: readonly string[];
    readonly stop: boolean;
    readonly at: Moment;
  },
): readonly RelayEffect[] | null {
  const { service, upstream, copyAt, demand, attemptId } = request;
  const pool = state.pools.get(service);
  const source = state.upstreams.get(upstream);
  if (pool === undefined || source === undefined) {
    return null;
  }
  const to = request.events === 0 ? null : pool.dispatcher.transfer({
    ...demand,
    promptTokens: memoryOf(pool, request),
    avoid: [...avoid, upstream, ...(copyAt === null ? [] : [copyAt])],
  }, { near: source.dataCentre, candidates: moveCandidates, at });
  const target = state.upstreams.get(to ?? "");
  if (to === null || target === undefined) {
    return null;
  }
  const streamEnded = request.move?.streamEnded ?? false;
  const generationId = moveOf(attemptId);
  // The copy stays: the generation goes on there if the move fails.
  releaseMove(state, request, at);
  holdMemory(pool, request, { generationId, engine: to, at });
  const move: Move = {
    to,
    phase: stop ? "stopping" : "copying",
    askedAt: at.monotonic,
    copies: 1,
    avoid,
    streamEnded,
  };
  request.move = move;
  const figures = {
    from: upstream,
    upstream: to,
    events: request.events,
    stop,
  };
  return [
    decide(state, {
      kind: "choose",
      subject: request.requestId,
      reason: "move",
      figures,
    }, at),
    askForCopy(state, request, move),
  ];
}

function askForCopy(
  state: RelayState,
  request: RelayedRequest,
  { to, phase }: Move,
): RelayEffect {
  const { attemptId, exchangeId, requestId, upstream } = request;
  return {
    kind: "copy_generation",
    attemptId,
    exchangeId,
    requestId,
    from: state.upstreams.get(upstream)?.address ?? "",
    to: state.upstreams.get(to)?.address ?? "",
    stop: phase === "stopping",
  };
}

function continueMove(
  state: RelayState,
  event: Timed<Copied>,
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
  switch (outcome.kind) {
    case "copied":
      if (move.copies === 1) {
        const tokens = memoryOf(pool, request);
        state.copyRate.observe(tokens, at.monotonic - move.askedAt);
      }
      return move.phase === "stopping"
        ? goOn(state, request, {
          to: move.to,
          handle: outcome.handle,
          reason: "moved",
          at,
        })
        : copyAgain(state, request, { move, at });
    case "no_room":
      return moveElsewhere(state, request, { move, ...outcome, at });
    case "busy":
      releaseMove(state, request, at);
      return [evacuateAgain(exchangeId, at)];
    case "not_running":
      return loseMove(state, request, { move, reason: outcome.kind, at });
    case "unknown": {
      const { kind: reason, detail } = outcome;
      return loseMove(state, request, { move, reason, detail, at });
    }
  }
}

/** Stops the generation once what is left to copy is little. */
function copyAgain(
  state: RelayState,
  request: RelayedRequest,
  { move, at }: { readonly move: Move; readonly at: Moment },
): readonly RelayEffect[] {
  const now = at.monotonic;
  const stop = now - move.askedAt <= quickCopyMs || move.copies >= maxCopies ||
    now - request.noticedAt >= recopyMs;
  const next: Move = {
    ...move,
    phase: stop ? "stopping" : "copying",
    askedAt: at.monotonic,
    copies: move.copies + 1,
  };
  request.move = next;
  return [askForCopy(state, request, next)];
}

/**
 * Tries another engine. One that stopped for the copy can go on at the engine
 * that keeps it, where no other has room.
 */
function moveElsewhere(
  state: RelayState,
  request: RelayedRequest,
  { move, handle, detail, at }: {
    readonly move: Move;
    readonly handle: string | null;
    readonly detail: string;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const stop = move.phase === "stopping";
  const avoid = [...move.avoid, move.to];
  if (!stop) {
    releaseMove(state, request, at);
    return startMove(state, request, { avoid, stop, at }) ??
      [evacuateAgain(request.exchangeId, at)];
  }
  if (handle === null) {
    return loseMove(state, request, { move, reason: "no_room", detail, at });
  }
  const next = move.avoid.length < maxRefusals
    ? startMove(state, request, { avoid, stop, at })
    : null;
  if (next !== null) {
    return next;
  }
  const to = request.upstream;
  return [
    ...goOn(state, request, { to, handle, reason: "no_room", at }),
    // The engine still leaves.
    evacuateAgain(request.exchangeId, at),
  ];
}

/** Goes on with a generation that its engine stopped and keeps. */
function goOn(
  state: RelayState,
  request: RelayedRequest,
  { to, handle, reason, at }: {
    readonly to: string;
    readonly handle: string;
    readonly reason: string;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { lastEventId, upstream } = request;
  const address = state.upstreams.get(upstream)?.address ?? "";
  const resumption = { address, handle, lastEventId };
  return resume(state, request, {
    to,
    resumption,
    reason,
    ending: "cancelled",
    report: null,
    at,
  });
}

/**
 * A generation whose stream has not ended runs on: its engine was not told to
 * stop, or refused to. Another one goes on at its copy, or is lost.
 */
function loseMove(
  state: RelayState,
  request: RelayedRequest,
  { move, reason, detail = "", at }: {
    readonly move: Move;
    readonly reason: string;
    /** What the failed call said, for the log. */
    readonly detail?: string;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { requestId, upstream, events } = request;
  const { to, phase } = move;
  const figures = { upstream, to, events, phase, outcome: reason, detail };
  const decision = { subject: requestId, reason: "copy_failed", figures };
  if (!move.streamEnded) {
    releaseMove(state, request, at);
    return [
      decide(state, { ...decision, kind: "retry", reason }, at),
      count("retries", reason),
      evacuateAgain(request.exchangeId, at),
    ];
  }
  const resumed = resumeFromCopy(state, request, { reason: "copy_failed", at });
  if (resumed !== null) {
    return resumed;
  }
  const dropped = endAttempt(state, request, { ending: "failed", at });
  state.requests.delete(request.exchangeId);
  return [
    decide(state, { ...decision, kind: "drop" }, at),
    ...dropped,
    ...refusalOf(request, { error: "generation_lost", notRun: false }),
    ...pumpBacklogs(state, at),
  ];
}

/** Whether an upstream is listed and takes new work. */
function isOpen(state: RelayState, id: string): boolean {
  return state.upstreams.get(id)?.state === "live" && !state.left.has(id);
}
