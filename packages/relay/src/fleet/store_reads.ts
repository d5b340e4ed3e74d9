import type { Moment } from "@lavenderferry/runtime";
import type { Member, ReaderRank } from "@lavenderferry/fleet";
import { countReaders } from "@lavenderferry/fleet";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayState } from "../state.ts";
import { routingConfirmedAt } from "../upstreams/evacuations.ts";

/** What a process reads of the store, for itself or for others too. */
export type SharedSource = "routing" | "upstreams";

/** The reads of one source; `dueAt` is `Infinity` while one is in progress. */
export interface SharedRead {
  /** Monotonic milliseconds of the next read, or of the next check. */
  dueAt: number;
  /** Number of reads that have failed since the last one that did not. */
  failures: number;
}

/**
 * Milliseconds between two reads of the upstreams, per process that reads them.
 * Processes tell each other of changes, so each reads less often the more do.
 */
const readPeriodMsPerReader = 150;
const minReadPeriodMs = 250;
const maxReadPeriodMs = 1_500;

/** Times of a reader's reads, as shares of the time allowed. */
interface ReadShares {
  /** Longest period of reads of the upstreams. */
  readonly period: number;
  /** Time for which the store may hold a read of the routing. */
  readonly held: number;
}

/** Where all processes read, so that no other depends on the age of the news. */
const ownShares: ReadShares = { period: 0.6, held: 0.6 };

/** Where some read for others, which read themselves if the news are too old. */
const relayedShares: ReadShares = { period: 0.3, held: 0.5 };

/**
 * Time for an answer, as a share of the time allowed. Knowledge is at most as old
 * as a hold, or a period, and two tries of a read, the second over a new connection.
 */
const answerShare = 0.25;

/**
 * Failed reads after which an answer may take as long as the store's client
 * allows, since the store is then more likely slow than a connection silent.
 */
const maxQuickFailures = 1;

/**
 * Age at which a process that does not read for others reads the store itself,
 * as a share of the time within which it must know of changes.
 */
const ownReadAgeShares: Readonly<Record<ReaderRank, number>> = {
  reader: 0,
  deputy: 0.65,
  other: 0.8,
};

/** Mean milliseconds until a failed read is tried again. */
const retryDelaysMs: Readonly<Record<ReaderRank, number>> = {
  reader: 400,
  deputy: 800,
  other: 800,
};

/** Kinds of the effects, and of the timers, that read a source. */
const readKinds = {
  routing: "follow_routing",
  upstreams: "follow_upstreams",
} as const;

/** Relative jitter of periods and delays. */
const jitterShare = 0.3;

/** Relative jitter of ages, which must not be exceeded by much. */
const ageJitterShare = 0.1;

/** Mean milliseconds until all processes have read a store of a new era. */
const newEraDelayMs = 200;

/** Returns when a source is read next, or its age checked. */
function nextDueAt(
  state: RelayState,
  source: SharedSource,
  at: Moment,
): number {
  const { fleet, random, settings } = state;
  const rank = fleet.readerRank;
  if (rank === "reader") {
    return at.monotonic +
      (source === "routing"
        ? 0
        : random.jitter(readPeriodMs(state), jitterShare));
  }
  const confirmedAt = source === "routing"
    ? routingConfirmedAt(state)
    : fleet.upstreams.askedAt;
  const ageMs = ownReadAgeShares[rank] * settings.freshnessMs;
  return confirmedAt + random.jitter(ageMs, ageJitterShare);
}

function readPeriodMs(state: RelayState): number {
  return Math.min(
    maxReadPeriodMs,
    readSharesOf(state).period * state.settings.freshnessMs,
    Math.max(
      minReadPeriodMs,
      countReaders(liveMembers(state)) * readPeriodMsPerReader,
    ),
  );
}

function liveMembers({ fleet }: RelayState): readonly Member[] {
  return fleet.membership.all().filter(({ state }) => state === "live");
}

function readSharesOf(state: RelayState): ReadShares {
  const live = liveMembers(state);
  return live.length === countReaders(live) ? ownShares : relayedShares;
}

/** Schedules the next read of a source, after one that has succeeded. */
export function scheduleRead(
  state: RelayState,
  source: SharedSource,
  at: Moment,
): RelayEffect {
  state.reads[source].failures = 0;
  return scheduleAt(state, source, nextDueAt(state, source, at));
}

/**
 * Reads a source again after a read that has failed: at once, over a new
 * connection, if the first one since a success was not answered, else later.
 */
export function readAgain(
  state: RelayState,
  source: SharedSource,
  { isUnanswered = false, at }: {
    readonly isUnanswered?: boolean | undefined;
    readonly at: Moment;
  },
): RelayEffect {
  const read = state.reads[source];
  read.failures += 1;
  if (isUnanswered && read.failures === 1) {
    return startRead(state, source, at);
  }
  const delayMs = retryDelaysMs[state.fleet.readerRank];
  const jitteredMs = state.random.jitter(delayMs, jitterShare);
  return scheduleAt(state, source, at.monotonic + jitteredMs);
}

/** Reads both sources soon, unless a read is in progress. */
export function readSoon(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const sources: readonly SharedSource[] = ["routing", "upstreams"];
  return sources.filter((source) => state.reads[source].dueAt !== Infinity)
    .map((source) =>
      scheduleAt(
        state,
        source,
        at.monotonic + state.random.jitter(newEraDelayMs, 1),
      )
    );
}

/** Reads both sources now if this process has become a reader. */
export function reviewReads(
  state: RelayState,
  at: Moment,
): readonly RelayEffect[] {
  const isReader = state.fleet.readerRank === "reader";
  const wasReader = state.readsForAll;
  state.readsForAll = isReader;
  return isReader && !wasReader ? readSoon(state, at) : [];
}

/**
 * Starts a read of a source as its timer fires, or schedules the next check if
 * news of peers came meanwhile. Timers of reads that were brought forward since
 * are ignored.
 */
export function readIfDue(
  state: RelayState,
  source: SharedSource,
  { dueAt, at }: { readonly dueAt: number; readonly at: Moment },
): readonly RelayEffect[] {
  if (dueAt !== state.reads[source].dueAt) {
    return [];
  }
  const isReader = state.fleet.readerRank === "reader";
  const nextAt = isReader ? dueAt : nextDueAt(state, source, at);
  return nextAt > Math.max(dueAt, at.monotonic)
    ? [scheduleAt(state, source, nextAt)]
    : [startRead(state, source, at)];
}

/**
 * Starts a read of a source. The store may hold one of the routing until there is a
 * change, unless the last one has failed or this process reads only what it has not
 * heard of.
 */
export function startRead(
  state: RelayState,
  source: SharedSource,
  at: Moment,
): RelayEffect {
  const { fleet, reads, settings: { freshnessMs } } = state;
  const read = reads[source];
  read.dueAt = Infinity;
  const isHeld = source === "routing" && fleet.readerRank === "reader" &&
    read.failures === 0;
  const heldMs = isHeld ? readSharesOf(state).held * freshnessMs : 0;
  const heldUntil = at.monotonic + heldMs;
  const deadline = read.failures > maxQuickFailures
    ? null
    : heldUntil + answerShare * freshnessMs;
  return { kind: readKinds[source], heldUntil, deadline };
}

function scheduleAt(
  state: RelayState,
  source: SharedSource,
  dueAt: number,
): RelayEffect {
  state.reads[source].dueAt = dueAt;
  const timer = { kind: readKinds[source], dueAt };
  return { kind: "set_timer", timer, at: dueAt };
}
