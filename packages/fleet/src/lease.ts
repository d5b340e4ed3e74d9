import type { CommitResult, Json, Row, Write } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import { z } from "zod";

/** Duration of a lease from its last write. */
export const leaseDurationMs = 6_000;

/** Time after a write at which the holder renews. */
export const renewalIntervalMs = 2_000;

/** Time before the deadline at which the holder stops using the lease. */
export const driftMarginMs = 500;

/** Largest difference between the wall clocks of two VMs. */
export const maxClockErrorMs = 1_000;

/** Longest time that an order to an engine can be in flight. */
export const maxOrderFlightMs = 2_000;

/** Delay before the first retry of an operation; it doubles each time. */
const initialRetryDelayMs = 500;

/** Longest delay between retries. */
const maxRetryDelayMs = 4_000;

/** Schema of the row of a lease. */
export const leaseRowSchema = z.object({
  /** Id of the holder; empty when the lease was released. */
  owner: z.string(),
  /** Epoch of the holder's run. */
  epoch: z.string(),
  /** Fencing token; grows with every acquisition. */
  fence: z.int(),
  /** Milliseconds since the Unix epoch. */
  deadline: z.number(),
});

/** The value of a lease's row. */
export type LeaseRow = Readonly<z.output<typeof leaseRowSchema>>;

/** A table operation that a lease needs next. */
export type LeaseAction =
  | { readonly kind: "read"; readonly key: string }
  | { readonly kind: "write"; readonly write: Write };

const noRestore: LeaseRestore = { firstFence: 0, formerEndedBy: -Infinity };

/** What a process intends for a lease at one moment. */
export interface LeaseIntent {
  /** Whether this process should hold the lease. */
  readonly wanted: boolean;
  /** Returns whether a run of a process is live. */
  readonly isLive: (owner: string, epoch: string) => boolean;
  /** What the table may have lost; absent if it was never restored. */
  readonly restore?: LeaseRestore | undefined;
}

/**
 * Limits on leases in a table that was restored from an older copy, which may
 * lack the latest acquisitions.
 */
export interface LeaseRestore {
  /** Fence above all that were granted before the restore. */
  readonly firstFence: number;
  /** Monotonic milliseconds by which leases from before it have ended. */
  readonly formerEndedBy: number;
}

/** A run of a process that may hold a lease. */
export interface Candidate {
  readonly id: string;
  readonly epoch: string;
}

interface WriteAttempt {
  /** Monotonic milliseconds before the write was sent. */
  readonly startedAt: number;
  readonly row: LeaseRow;
  /** Monotonic milliseconds after which no order of a predecessor arrives. */
  readonly ordersClearAt: number;
}

interface ObservedRow {
  readonly version: number | null;
  readonly row: LeaseRow | null;
  /** Monotonic milliseconds at which this version was first read. */
  readonly firstSeenAt: number;
}

/**
 * The state of one lease at one process. The holder measures the duration on
 * its monotonic clock, from before the write was sent. It does no I/O: `step`
 * returns the operation, and the caller reports the result with the time.
 */
export class Lease {
  readonly key: string;
  readonly #self: Candidate;
  #observed: ObservedRow | null = null;
  #attempt: WriteAttempt | null = null;
  #operationInFlight = false;
  #fence = 0;
  #heldUntil = 0;
  #ordersClearAt = 0;
  #retryAt = 0;
  #retryDelayMs = initialRetryDelayMs;

  constructor(key: string, self: Candidate) {
    this.key = key;
    this.#self = self;
  }

  /** Returns the fence while the lease is held; `null` otherwise. */
  fenceAt(at: Moment): number | null {
    return at.monotonic < this.#heldUntil ? this.#fence : null;
  }

  /**
   * Returns whether orders may be sent. An engine that does not check fences
   * may still receive an order of the predecessor until the predecessor's
   * deadline and the longest flight of an order have passed.
   */
  maySendOrders(at: Moment, checksFence: boolean): boolean {
    const clear = checksFence || at.monotonic >= this.#ordersClearAt;
    return this.fenceAt(at) !== null && clear;
  }

  /** Whether the row still names this run as the owner. */
  get owned(): boolean {
    return this.#isOwn(this.#observed?.row ?? null);
  }

  /** Handles a peer's report of a release: the row is read again. */
  releaseAnnounced(fence: number): void {
    const row = this.#observed?.row ?? null;
    const superseded = row !== null && row.owner !== "" && row.fence <= fence;
    if (superseded && !this.#operationInFlight && !this.#isOwn(row)) {
      this.#observed = null;
    }
  }

  /** Returns the operation to run next; `null` if none is due. */
  step(intent: LeaseIntent, at: Moment): LeaseAction | null {
    if (this.#operationInFlight || at.monotonic < this.#retryAt) {
      return null;
    }
    if (this.#observed === null) {
      this.#operationInFlight = true;
      return { kind: "read", key: this.key };
    }
    const row = this.#nextRow(intent, this.#observed, at);
    return row === null ? null : this.#startWrite(row, this.#observed, at);
  }

  /** Handles the result of a read. */
  rowRead(row: Row | null, at: Moment): void {
    this.#operationInFlight = false;
    this.#retryDelayMs = initialRetryDelayMs;
    this.#observe(row, at);
  }

  /** Handles the result of a write. */
  writeCompleted(result: CommitResult, at: Moment): void {
    this.#operationInFlight = false;
    this.#retryDelayMs = initialRetryDelayMs;
    const attempt = this.#attempt;
    if (result.kind === "conflict") {
      this.#observe(result.rows[0] ?? null, at);
    } else if (attempt !== null) {
      const value = attempt.row as unknown as Json;
      const version = result.versions[0] ?? 0;
      this.#observe({ key: this.key, version, value }, at);
    }
  }

  /**
   * Handles a failed operation; if it may have run, the row is read again
   * before the next write.
   */
  operationFailed(notRun: boolean, at: Moment): void {
    this.#operationInFlight = false;
    this.#retryAt = at.monotonic + this.#retryDelayMs;
    this.#retryDelayMs = Math.min(maxRetryDelayMs, 2 * this.#retryDelayMs);
    if (!notRun) {
      this.#observed = null;
    }
  }

  #nextRow(
    intent: LeaseIntent,
    observed: ObservedRow,
    at: Moment,
  ): LeaseRow | null {
    const deadline = at.wall + leaseDurationMs;
    const { id: owner, epoch } = this.#self;
    const fence = observed.row?.fence ?? 0;
    const { firstFence, formerEndedBy } = intent.restore ?? noRestore;
    const nextFence = Math.max(firstFence, fence + 1);
    const held = this.fenceAt(at) !== null;
    if (!held && at.monotonic < formerEndedBy) {
      return null;
    }
    if (this.#isOwn(observed.row)) {
      if (!intent.wanted) {
        return { owner: "", epoch: "", fence, deadline: at.wall };
      }
      const isRenewalDue =
        at.monotonic >= this.#heldUntil - leaseDurationMs + driftMarginMs +
            renewalIntervalMs;
      return held && fence >= firstFence
        ? (isRenewalDue ? { owner, epoch, fence, deadline } : null)
        : { owner, epoch, fence: nextFence, deadline };
    }
    return intent.wanted && isFree(observed, intent, at)
      ? { owner, epoch, fence: nextFence, deadline }
      : null;
  }

  #startWrite(row: LeaseRow, observed: ObservedRow, at: Moment): LeaseAction {
    this.#operationInFlight = true;
    const startedAt = at.monotonic;
    const remainingMs = Math.max(0, (observed.row?.deadline ?? 0) - at.wall);
    const changesHolder = row.fence !== observed.row?.fence &&
      !this.#isOwn(observed.row);
    const ordersClearAt = changesHolder
      ? startedAt + remainingMs + maxClockErrorMs + maxOrderFlightMs
      : this.#ordersClearAt;
    this.#attempt = { startedAt, row, ordersClearAt };
    if (row.owner === "") {
      this.#heldUntil = 0;
    }
    const value = row as unknown as Json;
    const write = { key: this.key, ifVersion: observed.version, value };
    return { kind: "write", write };
  }

  #observe(row: Row | null, at: Moment): void {
    const parsed = leaseRowSchema.safeParse(row?.value);
    const value = parsed.success ? parsed.data : null;
    const version = row?.version ?? null;
    const same = this.#observed !== null && this.#observed.version === version;
    const firstSeenAt = same
      ? this.#observed?.firstSeenAt ?? at.monotonic
      : at.monotonic;
    this.#observed = { version, row: value, firstSeenAt };
    if (!this.#isOwn(value)) {
      this.#heldUntil = 0;
      return;
    }
    const attempt = this.#attempt;
    const written = attempt !== null && isSameRow(attempt.row, value);
    if (written) {
      this.#heldUntil = attempt.startedAt + leaseDurationMs - driftMarginMs;
      this.#ordersClearAt = attempt.ordersClearAt;
      this.#fence = attempt.row.fence;
    }
  }

  #isOwn(row: LeaseRow | null): boolean {
    return row?.owner === this.#self.id && row.epoch === this.#self.epoch;
  }
}

function isFree(
  observed: ObservedRow,
  intent: LeaseIntent,
  at: Moment,
): boolean {
  const { row, firstSeenAt } = observed;
  if (row === null || row.owner === "") {
    return true;
  }
  const unchanged =
    at.monotonic - firstSeenAt >= leaseDurationMs + maxClockErrorMs;
  const deadlinePassed = at.wall >= row.deadline + maxClockErrorMs;
  return unchanged || (deadlinePassed && !intent.isLive(row.owner, row.epoch));
}

function isSameRow(a: LeaseRow, b: LeaseRow | null): boolean {
  return b !== null && a.owner === b.owner && a.epoch === b.epoch &&
    a.fence === b.fence && a.deadline === b.deadline;
}
