import type { RequestLimit } from "@lavenderferry/policy";
import type { RequestLimitRecord__Output } from "@lavenderferry/protocol";
import type { EventHandlers, Moment, Timed } from "@lavenderferry/runtime";
import type { RelayEffect } from "../relay_effect.ts";
import type {
  BrittleReported,
  LimitReported,
  PauseRequested,
} from "../relay_event.ts";
import type { Pool, RelayState } from "../state.ts";
import { recordDecision } from "../util/effects.ts";

/** Longest pause that is granted, in milliseconds. */
const maxPauseMs = 60_000;

/**
 * Length and jitter of the pause of an upstream that rejected a request, relative
 * to the time for which the process keeps to its shares of the service.
 */
const rejectionPauseShare = 0.5;
const rejectionPauseJitter = 0.5;

/** Records the limits and pauses that upstreams name in their answers. */
export const limitPart: EventHandlers<
  RelayState,
  BrittleReported | LimitReported | PauseRequested,
  RelayEffect
> = {
  pause_requested: (state, { upstream, pauseMs, at }) => {
    const until = at.monotonic + Math.min(pauseMs, maxPauseMs);
    state.requestLimits.pauseUntil(upstream, until);
    const figures = { pauseMs };
    const reason = "pause_requested";
    const decision = { subject: upstream, reason, figures } as const;
    return [recordDecision(state, { kind: "member", ...decision }, at)];
  },
  brittle_reported: handleBrittle,
  limit_reported: (state, { upstream, requestsPerSecond, at }) => {
    const { requestLimits } = state;
    const wasLimited = requestLimits.isLimited(upstream);
    const record = requestLimits.observe(upstream, requestsPerSecond, at);
    if (record === null) {
      return [];
    }
    state.fleet.setLimit(toMessage(record), at);
    return recordLimit(state, record, { wasLimited, at });
  },
};

function handleBrittle(
  state: RelayState,
  { upstream, rejectionsPerSecond, isRejection, at }: Timed<BrittleReported>,
): readonly RelayEffect[] {
  const { upstreams, pools } = state;
  const pool = pools.get(upstreams.get(upstream)?.pool ?? "");
  if (pool === undefined) {
    return [];
  }
  const { brittleness } = pool;
  const wasBrittle = brittleness.isBrittle(at);
  if (rejectionsPerSecond === null) {
    brittleness.recordRobust(at);
  } else {
    brittleness.record(rejectionsPerSecond, at);
  }
  const isBrittle = brittleness.isBrittle(at);
  const effects = isBrittle === wasBrittle ? [] : [
    recordDecision(state, {
      kind: "member",
      subject: pool.service.name,
      reason: isBrittle ? "service_brittle" : "service_robust",
      figures: { rejectionsPerSecond: rejectionsPerSecond ?? -1 },
    }, at),
  ];
  return isRejection && rejectionsPerSecond !== null
    ? [
      ...effects,
      ...pauseAfterRejection(state, pool, {
        upstream,
        rejectionsPerSecond,
        at,
      }),
    ]
    : effects;
}

/** Sends a brittle upstream nothing for a while after it rejected a request. */
function pauseAfterRejection(
  state: RelayState,
  { brittleness }: Pool,
  { upstream, rejectionsPerSecond, at }: {
    readonly upstream: string;
    readonly rejectionsPerSecond: number;
    readonly at: Moment;
  },
): readonly RelayEffect[] {
  const { requestLimits } = state;
  const processes = requestLimits.memberCount;
  const rejection = { rejectionsPerSecond, processes };
  const sharesUntil = brittleness.recordRejection(rejection, at);
  // Processes that were rejected together do not return together.
  const pauseMs = Math.round(state.random.jitter(
    rejectionPauseShare * (sharesUntil - at.monotonic),
    rejectionPauseJitter,
  ));
  requestLimits.pauseUntil(upstream, at.monotonic + pauseMs);
  const decision = {
    subject: upstream,
    reason: "brittle_upstream",
    figures: { rejectionsPerSecond, pauseMs },
  } as const;
  return [recordDecision(state, { kind: "member", ...decision }, at)];
}

/** Merges the records of peers and sends on what is new. */
export function mergeLimits(
  state: RelayState,
  records: readonly RequestLimitRecord__Output[],
  at: Moment,
): readonly RelayEffect[] {
  const { requestLimits, fleet } = state;
  return records.map(fromMessage).flatMap((record) => {
    const { upstream } = record;
    const wasLimited = requestLimits.isLimited(upstream);
    const result = requestLimits.merge(record, at);
    const current = requestLimits.get(upstream);
    if (result === "known" || current === undefined) {
      return [];
    }
    fleet.setLimit(toMessage(current), at);
    return recordLimit(state, current, { wasLimited, at });
  });
}

/** Removes limits that have ended, here and from what is sent to peers. */
export function removeExpiredLimits(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  return state.requestLimits.removeExpired(at).map((upstream) => {
    state.fleet.removeLimit(upstream);
    return recordLimitState(state, upstream, { requestsPerSecond: null, at });
  });
}

/** Logs a limit that begins or ends, but not its repetitions. */
function recordLimit(
  state: RelayState,
  { upstream, requestsPerSecond }: RequestLimit,
  { wasLimited, at }: { readonly wasLimited: boolean; readonly at: Moment },
): readonly RelayEffect[] {
  return wasLimited === (requestsPerSecond !== null)
    ? []
    : [recordLimitState(state, upstream, { requestsPerSecond, at })];
}

function recordLimitState(
  state: RelayState,
  subject: string,
  { requestsPerSecond, at }: {
    readonly requestsPerSecond: number | null;
    readonly at: Moment;
  },
): RelayEffect {
  return recordDecision(state, {
    kind: "member",
    subject,
    reason: requestsPerSecond === null ? "limit_ended" : "limit_named",
    figures: { requestsPerSecond: requestsPerSecond ?? -1 },
  }, at);
}

function toMessage(
  { requestsPerSecond, ...record }: RequestLimit,
): RequestLimitRecord__Output {
  const ended = requestsPerSecond === null;
  return { ...record, requestsPerSecond: requestsPerSecond ?? 0, ended };
}

function fromMessage(
  { ended, requestsPerSecond, ...record }: RequestLimitRecord__Output,
): RequestLimit {
  return { ...record, requestsPerSecond: ended ? null : requestsPerSecond };
}
