import type { Moment } from "@lavenderferry/runtime";
import { hashText } from "@lavenderferry/runtime";
import type { ColdLimits } from "./cold_limits.ts";
import { scoreRendezvous } from "./rendezvous.ts";

/** A limit that an upstream names, as it is sent between processes. */
export interface RequestLimit {
  readonly upstream: string;
  /** Requests a second from all processes together; `null`: it has ended. */
  readonly requestsPerSecond: number | null;
  /** Raised with each record of the upstream; the highest wins. */
  readonly revision: number;
}

/** Result of merging a peer's record. */
export type MergeResult =
  /** The record is newer than what was known. */
  | "accepted"
  | "known"
  /** The peer does not know the newer record of this process. */
  | "outdated";

/** Time without a repetition after which a limit ends. */
export const limitRetentionMs = 10_000;

/** Time after which a limit that is still named is sent to peers again. */
const refreshIntervalMs = 3_000;

/**
 * Time since the last answer with a limit after which an answer without one
 * ends it. Answers of one upstream may overtake each other.
 */
const endDelayMs = 1_000;

/** Smallest relative change of a limit that is sent to peers. */
const minChangeShare = 0.05;

/**
 * Largest number of processes that share a limit, for each request a second
 * that it allows. Each of them may send one request at once after it was idle,
 * so their number bounds what all of them send at once.
 */
const sharesPerRequestRate = 2;

const millisecondsPerSecond = 1_000;

interface KnownLimit {
  requestsPerSecond: number | null;
  revision: number;
  /** Monotonic milliseconds at which an answer or a peer last named it. */
  namedAt: number;
  /** Monotonic milliseconds at which it is sent to peers again. */
  refreshAt: number;
  /** Monotonic milliseconds at which it ends unless it is named again. */
  deadline: number;
  /** Requests a millisecond that this process may send; 0: no share. */
  ratePerMs: number;
  /** Monotonic milliseconds from which the next request may be sent. */
  nextStartAt: number;
}

/**
 * Limits on the requests that upstreams take from all processes together. Each
 * limit is divided evenly between the processes that hold a share of it. These
 * are chosen by rendezvous hashing, so all processes agree on them without
 * messages, and different upstreams have different ones.
 */
export class RequestLimits {
  /** Limits of cold upstreams; `null`: they are not limited. */
  readonly cold: ColdLimits | null;
  readonly #member: string;
  readonly #limits = new Map<string, KnownLimit>();
  /** Monotonic milliseconds at which pauses end, by upstream. */
  readonly #pauses = new Map<string, number>();
  /** Ids of the processes between which limits are divided, sorted. */
  #members: readonly string[];
  /** Index of this process among them. */
  #position = 0;

  /** `cold` limits the requests to cold upstreams, if they are limited. */
  constructor(member: string, cold: ColdLimits | null = null) {
    this.cold = cold;
    this.#member = member;
    this.#members = [member];
  }

  /** Number of upstreams that limit requests. */
  get count(): number {
    return [...this.#limits.values()]
      .filter(({ requestsPerSecond }) => requestsPerSecond !== null).length;
  }

  /** Number of processes between which limits are divided. */
  get memberCount(): number {
    return this.#members.length;
  }

  /** Whether an upstream limits requests. */
  isLimited(upstream: string): boolean {
    const limit = this.#limits.get(upstream);
    return limit !== undefined && limit.requestsPerSecond !== null;
  }

  /** Whether the requests to an upstream are limited as it is cold. */
  isCold(upstream: string): boolean {
    return this.cold?.isCold(upstream) === true;
  }

  /** Sets the processes between which limits are divided. */
  setMembers(members: readonly string[], at: Moment): void {
    this.#members = [...new Set([...members, this.#member])].sort();
    this.#position = this.#members.indexOf(this.#member);
    for (const [upstream, limit] of this.#limits) {
      const { ratePerMs } = this.#shareOf(upstream, limit);
      limit.ratePerMs = ratePerMs;
      limit.nextStartAt = Math.min(
        limit.nextStartAt,
        at.monotonic + 1 / ratePerMs,
      );
    }
  }

  /**
   * Records what an answer says of a limit; `null` means that it names none.
   * Returns the record to send to peers, if they need one.
   */
  observe(
    upstream: string,
    requestsPerSecond: number | null,
    at: Moment,
  ): RequestLimit | null {
    const known = this.#limits.get(upstream);
    const now = at.monotonic;
    if (requestsPerSecond === null) {
      const hasEnded = known !== undefined &&
        known.requestsPerSecond !== null && now >= known.namedAt + endDelayMs;
      return hasEnded
        ? this.#publish(upstream, { requestsPerSecond, known, at })
        : null;
    }
    if (known !== undefined) {
      known.namedAt = now;
      known.deadline = now + limitRetentionMs;
    }
    return known !== undefined && now < known.refreshAt &&
        isSimilar(known.requestsPerSecond, requestsPerSecond)
      ? null
      : this.#publish(upstream, { requestsPerSecond, known, at });
  }

  /** Merges a peer's record. */
  merge(record: RequestLimit, at: Moment): MergeResult {
    const known = this.#limits.get(record.upstream);
    if (known === undefined || supersedes(record, known)) {
      this.#set(record, at);
      return "accepted";
    }
    return record.revision < known.revision ? "outdated" : "known";
  }

  /** Returns the record of an upstream, if one is known. */
  get(upstream: string): RequestLimit | undefined {
    const known = this.#limits.get(upstream);
    if (known === undefined) {
      return undefined;
    }
    const { requestsPerSecond, revision } = known;
    return { upstream, requestsPerSecond, revision };
  }

  /**
   * Returns the monotonic milliseconds from which this process may send an
   * upstream its next request: infinite if it has no share of the limit,
   * `-Infinity` if there is neither a limit nor a pause.
   */
  nextStartAt(upstream: string): number {
    const earliestAt = Math.max(
      this.pauseEndsAt(upstream),
      this.cold?.nextStartAt(upstream) ?? -Infinity,
    );
    const limit = this.#limits.get(upstream);
    if (limit === undefined || limit.requestsPerSecond === null) {
      return earliestAt;
    }
    return limit.ratePerMs === 0
      ? Infinity
      : Math.max(earliestAt, limit.nextStartAt);
  }

  /** Returns the first time at which one of several upstreams may be sent one. */
  earliestStartAt(upstreams: readonly string[]): number {
    return Math.min(...upstreams.map((id) => this.nextStartAt(id)));
  }

  /** Returns when an upstream's pause ends; `-Infinity` if it has none. */
  pauseEndsAt(upstream: string): number {
    return this.#pauses.get(upstream) ?? -Infinity;
  }

  /** Sends an upstream no request of this process before a time. */
  pauseUntil(upstream: string, until: number): void {
    const endsAt = Math.max(this.pauseEndsAt(upstream), until);
    this.#pauses.set(upstream, endsAt);
  }

  /**
   * Returns this process's share of an upstream's slots. They are dealt to the
   * processes in turn, from another one on for each upstream.
   */
  shareOfSlots(upstream: string, slots: number): number {
    const rank = this.#rankAt(upstream);
    return Math.max(0, Math.ceil((slots - rank) / this.#members.length));
  }

  /**
   * Whether it is this process's turn at an upstream. In any two adjacent
   * seconds of the wall clock, `turns` processes have one on average and that
   * number, rounded up, at most.
   */
  isTurn(upstream: string, turns: number, at: Moment): boolean {
    const second = Math.floor(at.wall / millisecondsPerSecond);
    const count = this.#members.length;
    const turnsPerSecond = Math.min(count, turns / 2);
    const first = Math.floor(second * turnsPerSecond);
    const end = Math.floor((second + 1) * turnsPerSecond);
    const distance = (this.#rankAt(upstream) - first % count + count) % count;
    return distance < end - first;
  }

  /** Returns this process's rank; each upstream has another first process. */
  #rankAt(upstream: string): number {
    const count = this.#members.length;
    return (this.#position - hashText(upstream) % count + count) % count;
  }

  /** Returns the requests a millisecond that this process may send. */
  ratePerMs(upstream: string): number {
    const limit = this.#limits.get(upstream);
    const coldRatePerMs = this.cold?.ratePerMs(upstream) ?? Infinity;
    return limit === undefined || limit.requestsPerSecond === null
      ? coldRatePerMs
      : Math.min(coldRatePerMs, limit.ratePerMs);
  }

  /** Records that a request is sent to an upstream. */
  recordStart(upstream: string, at: Moment): void {
    this.cold?.recordStart(upstream, at);
    const limit = this.#limits.get(upstream);
    if (limit !== undefined && limit.ratePerMs !== 0) {
      limit.nextStartAt = Math.max(limit.nextStartAt, at.monotonic) +
        1 / limit.ratePerMs;
    }
  }

  /** Removes records that nobody has repeated; returns their upstreams. */
  removeExpired(at: Moment): readonly string[] {
    for (const [upstream, endsAt] of this.#pauses) {
      if (at.monotonic >= endsAt) {
        this.#pauses.delete(upstream);
      }
    }
    const expired = [...this.#limits]
      .filter(([, { deadline }]) => at.monotonic >= deadline)
      .map(([upstream]) => upstream);
    for (const upstream of expired) {
      this.#limits.delete(upstream);
    }
    return expired;
  }

  #publish(
    upstream: string,
    { requestsPerSecond, known, at }: {
      readonly requestsPerSecond: number | null;
      readonly known: KnownLimit | undefined;
      readonly at: Moment;
    },
  ): RequestLimit {
    const revision = (known?.revision ?? 0) + 1;
    const record = { upstream, requestsPerSecond, revision };
    this.#set(record, at);
    return record;
  }

  #set({ upstream, ...record }: RequestLimit, at: Moment): void {
    const now = at.monotonic;
    const former = this.#limits.get(upstream);
    const { ratePerMs, phase } = this.#shareOf(upstream, record);
    // Processes that learn of a limit together do not send together.
    const firstStartAt = now + phase / ratePerMs;
    const hadLimit = former !== undefined && former.requestsPerSecond !== null;
    this.#limits.set(upstream, {
      ...record,
      namedAt: now,
      refreshAt: now + refreshIntervalMs,
      deadline: now + limitRetentionMs,
      ratePerMs,
      nextStartAt: hadLimit
        ? Math.min(former.nextStartAt, now + 1 / ratePerMs)
        : firstStartAt,
    });
  }

  /**
   * Returns this process's share of a limit, and the part of the time between
   * two requests, above 0 and up to 1, after which its first one is due.
   */
  #shareOf(
    upstream: string,
    { requestsPerSecond }: Pick<RequestLimit, "requestsPerSecond">,
  ): { readonly ratePerMs: number; readonly phase: number } {
    const rate = requestsPerSecond ?? Infinity;
    const shares = Math.max(
      1,
      Math.min(this.#members.length, Math.floor(sharesPerRequestRate * rate)),
    );
    const key = hashText(upstream);
    const ownScore = scoreRendezvous(hashText(this.#member), key);
    const rank =
      this.#members.filter((member) =>
        scoreRendezvous(hashText(member), key) > ownScore
      ).length;
    const ratePerMs = rank < shares ? rate / shares / millisecondsPerSecond : 0;
    return { ratePerMs, phase: Math.min(1, (rank + 1) / shares) };
  }
}

function supersedes(record: RequestLimit, known: KnownLimit): boolean {
  if (record.revision !== known.revision) {
    return record.revision > known.revision;
  }
  return (record.requestsPerSecond ?? Infinity) <
    (known.requestsPerSecond ?? Infinity);
}

function isSimilar(known: number | null, named: number): boolean {
  return known !== null && Math.abs(known - named) <= minChangeShare * known;
}
