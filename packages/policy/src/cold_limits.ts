import type { Moment } from "@lavenderferry/runtime";
import { hashText } from "@lavenderferry/runtime";
import { scoreRendezvous } from "./rendezvous.ts";

/** What cold upstreams bear beyond the rate that they handle. */
export interface ColdTolerance {
  /** Factor of the rate. */
  readonly over: number;
  /** Requests in a second on top of that. */
  readonly slack: number;
}

/**
 * Part of the tolerated requests that is used, as requests of different processes
 * travel for different times and arrive closer together than they were sent.
 */
const usedShare = 0.9;

/** Slack that is kept for what processes with other members send. */
const keptSlack = 1;

const millisecondsPerSecond = 1_000;

interface ColdLimit {
  /** Requests a second that the upstream handles while it is cold. */
  requestsPerSecond: number;
  /** Monotonic milliseconds at which the upstream is warm. */
  until: number;
  /** Requests a millisecond that this process may send; 0: no share. */
  ratePerMs: number;
  /** Monotonic milliseconds from which the next request may be sent. */
  nextStartAt: number;
}

/**
 * Limits on the requests to upstreams that are cold. Each is divided between some
 * of the processes, chosen by rendezvous hashing without messages. A process may
 * send one request at once after it was idle, so in any second `shares` processes
 * together send at most the rate and `shares` more.
 */
export class ColdLimits {
  readonly #member: string;
  readonly #tolerance: ColdTolerance;
  readonly #limits = new Map<string, ColdLimit>();
  /** `null` before the processes are known; none has a share then. */
  #members: readonly string[] | null = null;

  constructor(member: string, tolerance: ColdTolerance) {
    this.#member = member;
    this.#tolerance = tolerance;
  }

  /** Number of upstreams that are cold. */
  get count(): number {
    return this.#limits.size;
  }

  /** Whether an upstream is cold. */
  isCold(upstream: string): boolean {
    return this.#limits.has(upstream);
  }

  /** Sets the processes between which limits are divided. */
  setMembers(members: readonly string[], at: Moment): void {
    const next = [...new Set([...members, this.#member])].sort();
    if (next.join("\n") === this.#members?.join("\n")) {
      return;
    }
    this.#members = next;
    for (const [upstream, limit] of this.#limits) {
      const { ratePerMs, phase } = this.#shareOf(upstream, limit);
      limit.nextStartAt = ratePerMs === 0
        ? Infinity
        : limit.nextStartAt === Infinity
        ? at.monotonic + phase / ratePerMs
        : Math.min(limit.nextStartAt, at.monotonic + 1 / ratePerMs);
      limit.ratePerMs = ratePerMs;
    }
  }

  /** Limits an upstream until it is warm, in monotonic milliseconds. */
  limit(
    upstream: string,
    { requestsPerSecond, until, at }: {
      readonly requestsPerSecond: number;
      readonly until: number;
      readonly at: Moment;
    },
  ): void {
    const known = this.#limits.get(upstream);
    if (known?.requestsPerSecond === requestsPerSecond) {
      known.until = until;
      return;
    }
    const limit = { requestsPerSecond, until, ratePerMs: 0, nextStartAt: 0 };
    const { ratePerMs, phase } = this.#shareOf(upstream, limit);
    limit.ratePerMs = ratePerMs;
    // Processes that learn of a cold upstream together do not send together.
    limit.nextStartAt = ratePerMs === 0
      ? Infinity
      : at.monotonic + phase / ratePerMs;
    this.#limits.set(upstream, limit);
  }

  /** Removes the limit of an upstream that is warm; returns whether it had one. */
  remove(upstream: string): boolean {
    return this.#limits.delete(upstream);
  }

  /** Removes the limits of upstreams that are warm by now; returns their ids. */
  removeExpired(at: Moment): readonly string[] {
    const expired = [...this.#limits]
      .filter(([, { until }]) => at.monotonic >= until)
      .map(([upstream]) => upstream);
    for (const upstream of expired) {
      this.#limits.delete(upstream);
    }
    return expired;
  }

  /**
   * Returns the monotonic milliseconds from which this process may send an
   * upstream its next request: infinite if it has no share, `-Infinity` if the
   * upstream is warm.
   */
  nextStartAt(upstream: string): number {
    return this.#limits.get(upstream)?.nextStartAt ?? -Infinity;
  }

  /** Returns the requests a millisecond that this process may send. */
  ratePerMs(upstream: string): number {
    return this.#limits.get(upstream)?.ratePerMs ?? Infinity;
  }

  /** Records that a request is sent to an upstream. */
  recordStart(upstream: string, at: Moment): void {
    const limit = this.#limits.get(upstream);
    if (limit !== undefined && limit.ratePerMs > 0) {
      limit.nextStartAt = Math.max(limit.nextStartAt, at.monotonic) +
        1 / limit.ratePerMs;
    }
  }

  /**
   * Returns this process's share, and the part of the time between two requests,
   * above 0 and up to 1, after which its first one is due.
   */
  #shareOf(
    upstream: string,
    { requestsPerSecond: rate }: Pick<ColdLimit, "requestsPerSecond">,
  ): { readonly ratePerMs: number; readonly phase: number } {
    const members = this.#members ?? [];
    const { over, slack } = this.#tolerance;
    const spare = (over - 1) * rate / 2 + slack - keptSlack;
    const shares = Math.max(1, Math.min(members.length, Math.floor(spare)));
    const tolerated = usedShare * (over * rate + slack) - shares;
    const total = Math.max(0, Math.min(rate, tolerated));
    const key = hashText(upstream);
    const ownScore = scoreRendezvous(hashText(this.#member), key);
    const rank =
      members.filter((member) =>
        scoreRendezvous(hashText(member), key) > ownScore
      ).length;
    const hasShare = this.#members !== null && rank < shares;
    return {
      ratePerMs: hasShare ? total / shares / millisecondsPerSecond : 0,
      phase: (rank + 1) / shares,
    };
  }
}
