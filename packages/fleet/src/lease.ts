import type { CommitResult, Json, Row, Write } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import { z } from "zod";

/** Milliseconds for which a written lease holds. */
export const leaseMs = 6_000;

/** Milliseconds after which the holder renews. */
export const renewMs = 2_000;

/** Milliseconds before the deadline at which the holder stops. */
export const driftMarginMs = 500;

/** Milliseconds by which the wall clocks of two VMs may differ. */
export const clockErrorMs = 1_000;

/** Milliseconds that an order to an engine can be in flight. */
export const longestOrderMs = 2_000;

/** Milliseconds until a failed operation is tried again; they double. */
const retryMs = 500;

/** Milliseconds between two tries at most. */
const longestRetryMs = 4_000;

/** Schema of the row of a lease. */
export const leaseRowSchema = z.object({
  /** Id of the holding process; empty when the lease was given up. */
  owner: z.string(),
  /** Run of the holding process. */
  epoch: z.string(),
  /** Grows with every acquisition. */
  fence: z.int(),
  /** Milliseconds since the Unix epoch. */
  deadline: z.number(),
});

/** The value of the row of a lease. */
export type LeaseRow = Readonly<z.output<typeof leaseRowSchema>>;

/** An operation on the table that a lease asks for. */
export type LeaseAction =
  | { readonly kind: "read"; readonly key: string }
  | { readonly kind: "write"; readonly write: Write };

/** What a lease is wanted for at one moment. */
export interface LeaseWish {
  /** Whether this process should hold the lease. */
  readonly wanted: boolean;
  /** Whether a run of a process is believed to live. */
  readonly isLive: (owner: string, epoch: string) => boolean;
}

/** Who wants to hold a lease. */
export interface Candidate {
  readonly id: string;
  readonly epoch: string;
}

interface Attempt {
  /** Monotonic milliseconds before the write was sent. */
  readonly startedAt: number;
  readonly row: LeaseRow;
  readonly clearAt: number;
}

interface Seen {
  readonly version: number | null;
  readonly row: LeaseRow | null;
  /** Monotonic milliseconds at which this version was first seen. */
  readonly since: number;
}

/**
 * The state of one lease at one process. The holder counts on its monotonic
 * clock from before the write was sent. Pure: operations go out as actions,
 * and their results come back with the time.
 */
export class Lease {
  readonly key: string;
  readonly #self: Candidate;
  #seen: Seen | null = null;
  #attempt: Attempt | null = null;
  #busy = false;
  #fence = 0;
  #heldUntil = 0;
  #clearAt = 0;
  #retryAt = 0;
  #retryMs = retryMs;

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
  mayOrder(at: Moment, checksFence: boolean): boolean {
    const clear = checksFence || at.monotonic >= this.#clearAt;
    return this.fenceAt(at) !== null && clear;
  }

  /** Whether the row still names this run as the owner. */
  get owned(): boolean {
    return this.#isMine(this.#seen?.row ?? null);
  }

  /** Takes a peer's word that the lease was given up under a fence. */
  givenUp(fence: number): void {
    const row = this.#seen?.row ?? null;
    const news = row !== null && row.owner !== "" && row.fence <= fence;
    if (news && !this.#busy && !this.#isMine(row)) {
      this.#seen = null;
    }
  }

  /** Returns the operation to run next, if any. */
  step(wish: LeaseWish, at: Moment): LeaseAction | null {
    if (this.#busy || at.monotonic < this.#retryAt) {
      return null;
    }
    if (this.#seen === null) {
      this.#busy = true;
      return { kind: "read", key: this.key };
    }
    const row = this.#next(wish, this.#seen, at);
    return row === null ? null : this.#write(row, this.#seen, at);
  }

  /** Takes the row that was read. */
  read(row: Row | null, at: Moment): void {
    this.#busy = false;
    this.#retryMs = retryMs;
    this.#see(row, at);
  }

  /** Takes the result of the write. */
  written(result: CommitResult, at: Moment): void {
    this.#busy = false;
    this.#retryMs = retryMs;
    const attempt = this.#attempt;
    if (result.kind === "conflict") {
      this.#see(result.rows[0] ?? null, at);
    } else if (attempt !== null) {
      const value = attempt.row as unknown as Json;
      const version = result.versions[0] ?? 0;
      this.#see({ key: this.key, version, value }, at);
    }
  }

  /** Takes a failure; unless it did not run, the row is read back. */
  failed(notRun: boolean, at: Moment): void {
    this.#busy = false;
    this.#retryAt = at.monotonic + this.#retryMs;
    this.#retryMs = Math.min(longestRetryMs, 2 * this.#retryMs);
    if (!notRun) {
      this.#seen = null;
    }
  }

  #next(wish: LeaseWish, seen: Seen, at: Moment): LeaseRow | null {
    const deadline = at.wall + leaseMs;
    const { id: owner, epoch } = this.#self;
    const fence = seen.row?.fence ?? 0;
    if (this.#isMine(seen.row)) {
      if (!wish.wanted) {
        return { owner: "", epoch: "", fence, deadline: at.wall };
      }
      const held = this.fenceAt(at) !== null;
      const due = at.monotonic >= this.#heldUntil - leaseMs + driftMarginMs +
          renewMs;
      return held
        ? (due ? { owner, epoch, fence, deadline } : null)
        : { owner, epoch, fence: fence + 1, deadline };
    }
    return wish.wanted && isFree(seen, wish, at)
      ? { owner, epoch, fence: fence + 1, deadline }
      : null;
  }

  #write(row: LeaseRow, seen: Seen, at: Moment): LeaseAction {
    this.#busy = true;
    const startedAt = at.monotonic;
    const left = Math.max(0, (seen.row?.deadline ?? 0) - at.wall);
    const taken = row.fence !== seen.row?.fence && !this.#isMine(seen.row);
    const clearAt = taken
      ? startedAt + left + clockErrorMs + longestOrderMs
      : this.#clearAt;
    this.#attempt = { startedAt, row, clearAt };
    if (row.owner === "") {
      this.#heldUntil = 0;
    }
    const value = row as unknown as Json;
    const write = { key: this.key, ifVersion: seen.version, value };
    return { kind: "write", write };
  }

  #see(row: Row | null, at: Moment): void {
    const parsed = leaseRowSchema.safeParse(row?.value);
    const value = parsed.success ? parsed.data : null;
    const version = row?.version ?? null;
    const same = this.#seen !== null && this.#seen.version === version;
    const since = same ? this.#seen?.since ?? at.monotonic : at.monotonic;
    this.#seen = { version, row: value, since };
    if (!this.#isMine(value)) {
      this.#heldUntil = 0;
      return;
    }
    const attempt = this.#attempt;
    const written = attempt !== null && isSame(attempt.row, value);
    if (written) {
      this.#heldUntil = attempt.startedAt + leaseMs - driftMarginMs;
      this.#clearAt = attempt.clearAt;
      this.#fence = attempt.row.fence;
    }
  }

  #isMine(row: LeaseRow | null): boolean {
    return row?.owner === this.#self.id && row.epoch === this.#self.epoch;
  }
}

function isFree(seen: Seen, wish: LeaseWish, at: Moment): boolean {
  const { row, since } = seen;
  if (row === null || row.owner === "") {
    return true;
  }
  const unchanged = at.monotonic - since >= leaseMs + clockErrorMs;
  const passed = at.wall >= row.deadline + clockErrorMs;
  return unchanged || (passed && !wish.isLive(row.owner, row.epoch));
}

function isSame(a: LeaseRow, b: LeaseRow | null): boolean {
  return b !== null && a.owner === b.owner && a.epoch === b.epoch &&
    a.fence === b.fence && a.deadline === b.deadline;
}
