import type { Moment } from "@lavenderferry/runtime";
import type { ReaderRank } from "@lavenderferry/fleet";
import { countReaders } from "@lavenderferry/fleet";
import type { RelayEffect } from "../relay_effect.ts";
import type { RelayState } from "../state.ts";

/** What a process reads of the store, for itself or for others too. */
export type SharedSource = "routing" | "upstreams";

/** The reads of one source; `dueAt` is `Infinity` while one is in progress. */
export interface SharedRead {
  /** Monotonic milliseconds of the next read, or of the next check. */
  dueAt: number;
}

/**
 * Milliseconds between two reads of the upstreams, per process that reads them.
 * Processes tell each other of changes, so each reads less often the more do.
 */
const readPeriodMsPerReader = 150;
const minReadPeriodMs = 250;
const maxReadPeriodMs = 1_500;

/** Longest period of reads for others, as a share of the time allowed. */
const relayedPeriodShare = 0.3;

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
    ? fleet.configurationConfirmedAt
    : fleet.upstreams.askedAt;
  const ageMs = ownReadAgeShares[rank] * settings.freshnessMs;
  return confirmedAt + random.jitter(ageMs, ageJitterShare);
}

function readPeriodMs({ fleet, settings }: RelayState): number {
  const live = fleet.membership.all().filter(({ state }) => state === "live");
  const readers = countReaders(live);
  const periodMs = Math.min(
    maxReadPeriodMs,
    Math.max(minReadPeriodMs, readers * readPeriodMsPerReader),
  );
  return live.length === readers
    ? periodMs
    : Math.min(periodMs, relayedPeriodShare * settings.freshnessMs);
}

/** Schedules the next read of a source, after one that has ended. */
export function scheduleRead(
  state: RelayState,
  source: SharedSource,
  at: Moment,
): RelayEffect {
  return scheduleAt(state, source, nextDueAt(state, source, at));
}

/** Schedules a read of a source after one that has failed. */
export function scheduleReadAgain(
  state: RelayState,
  source: SharedSource,
  at: Moment,
): RelayEffect {
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
    : [startRead(state, source)];
}

/** Starts a read of a source. */
export function startRead(
  state: RelayState,
  source: SharedSource,
): RelayEffect {
  state.reads[source].dueAt = Infinity;
  return source === "routing"
    ? { kind: "follow_routing", waits: state.fleet.readerRank === "reader" }
    : { kind: "follow_upstreams" };
}

function scheduleAt(
  state: RelayState,
  source: SharedSource,
  dueAt: number,
): RelayEffect {
  state.reads[source].dueAt = dueAt;
  const kind = source === "routing" ? "follow_routing" : "follow_upstreams";
  return { kind: "set_timer", timer: { kind, dueAt }, at: dueAt };
}
