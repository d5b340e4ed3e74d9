import { shardCount } from "@lavenderferry/ledger";
import type { CommitResult, Row } from "@lavenderferry/platform";
import { toStoreVersion } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import { hashText } from "@lavenderferry/runtime";
import type { DutyDirectory } from "./duty_directory.ts";
import type { Candidate, LeaseAction, LeaseRestore } from "./lease.ts";
import { Lease, leaseDurationMs, maxClockErrorMs } from "./lease.ts";
import type { Member } from "./member.ts";

/** Number of duties among which recovery after dead processes is divided. */
export const recoveryParts = 16;

/** Time for which another holder must be preferred before a duty moves. */
export const moveDelayMs = 10_000;

/** Duration of a turn, in which a fraction of the duties may move. */
export const moveTurnMs = 10_000;

/** Turns in a round; about a tenth of the duties may move in each turn. */
export const turnsPerRound = 10;

/** Interval between steps of all duties. */
const stepIntervalMs = 250;

/** A table operation for the lease of one duty. */
export interface DutyAction {
  readonly duty: string;
  readonly action: LeaseAction;
}

/** The view of the fleet by which duties are assigned. */
export interface DutyView {
  readonly members: readonly Member[];
  readonly directory: DutyDirectory;
  readonly pools: readonly string[];
}

interface Duty {
  readonly lease: Lease;
  /** Id of the steward that should hold the duty; empty if there is none. */
  preferred: string;
  /** Monotonic milliseconds from which that steward has been preferred. */
  preferredSince: number;
}

/** Returns the names of all duties. */
export function dutyNames(pools: readonly string[]): readonly string[] {
  return [
    ...numberedNames("settlement", shardCount),
    ...numberedNames("recovery", recoveryParts),
    ...pools.map((pool) => `placement/${pool}`),
  ];
}

/**
 * The duties of one steward. The preferred holder of a duty is the live steward
 * that rendezvous hashing selects. A holder keeps its duty until another one
 * has been preferred for `moveDelayMs` and the duty's turn to move has come.
 */
export class Duties {
  readonly #self: Candidate;
  readonly #duties = new Map<string, Duty>();
  /** Cache of the preferred steward by duty; reset when the stewards change. */
  readonly #preferredByDuty = new Map<string, string>();
  #stewardIds = "";
  #nextStepAt = 0;
  #leaving = false;
  #era = 0;
  #restore: LeaseRestore | undefined;

  constructor(self: Candidate) {
    this.#self = self;
  }

  /** Returns the fence of a duty while it is held here; `null` otherwise. */
  dutyFence(duty: string, at: Moment): number | null {
    return this.#duties.get(duty)?.lease.fenceAt(at) ?? null;
  }

  /** Returns whether orders may be sent under a duty that is held here. */
  maySendOrders(duty: string, at: Moment, checksFence: boolean): boolean {
    return this.#duties.get(duty)?.lease.maySendOrders(at, checksFence) ??
      false;
  }

  /** Returns the duties that are held here. */
  held(at: Moment): readonly string[] {
    return [...this.#duties]
      .filter(([, { lease }]) => lease.fenceAt(at) !== null)
      .map(([duty]) => duty);
  }

  /** Whether no known lease row names this run as the owner. */
  get released(): boolean {
    return [...this.#duties.values()].every(({ lease }) => !lease.owned);
  }

  /**
   * Sets the era of the table of leases. In a later one, fences are above those
   * of all earlier ones, and leases from before the restore may still be held.
   * Returns whether the era is later.
   */
  setEra(era: number, at: Moment): boolean {
    if (era <= this.#era) {
      return false;
    }
    this.#era = era;
    this.#restore = {
      firstFence: toStoreVersion(era, 1),
      formerEndedBy: at.monotonic + leaseDurationMs + maxClockErrorMs,
    };
    return true;
  }

  /** Starts the release of all duties, for a planned stop. */
  releaseAll(): void {
    this.#leaving = true;
    this.#nextStepAt = 0;
  }

  /** Returns the table operations that are due. */
  step(view: DutyView, at: Moment): readonly DutyAction[] {
    if (at.monotonic < this.#nextStepAt) {
      return [];
    }
    this.#nextStepAt = at.monotonic + stepIntervalMs;
    const stewards = view.members.filter((member) =>
      member.role === "steward" && member.state === "live" &&
      !(this.#leaving && member.id === this.#self.id)
    );
    this.#resetPreferred(stewards);
    return dutyNames(view.pools).flatMap((name) => {
      const duty = this.#duty(name);
      this.#setPreferred(duty, this.#preferredFor(name, stewards), at);
      const announced = view.directory.get(name);
      if (announced?.holder === "") {
        duty.lease.releaseAnnounced(announced.fence);
      }
      const unrelated = duty.preferred !== this.#self.id && !duty.lease.owned;
      const action = unrelated ? null : duty.lease.step({
        wanted: this.#isWanted(name, duty, at),
        restore: this.#restore,
        isLive: (owner, epoch) =>
          stewards.some((steward) =>
            steward.id === owner && steward.epoch === epoch
          ),
      }, at);
      return action === null ? [] : [{ duty: name, action }];
    });
  }

  /** Handles the result of a read for a duty. */
  rowRead(duty: string, row: Row | null, at: Moment): void {
    this.#duties.get(duty)?.lease.rowRead(row, at);
  }

  /** Handles the result of a write for a duty. */
  writeCompleted(duty: string, result: CommitResult, at: Moment): void {
    this.#duties.get(duty)?.lease.writeCompleted(result, at);
  }

  /** Handles a failed operation for a duty. */
  operationFailed(duty: string, notRun: boolean, at: Moment): void {
    this.#duties.get(duty)?.lease.operationFailed(notRun, at);
  }

  #duty(name: string): Duty {
    const known = this.#duties.get(name);
    if (known !== undefined) {
      return known;
    }
    const lease = new Lease(`lease/${name}`, this.#self);
    const duty = { lease, preferred: "", preferredSince: 0 };
    this.#duties.set(name, duty);
    return duty;
  }

  #preferredFor(name: string, stewards: readonly Member[]): string {
    const known = this.#preferredByDuty.get(name);
    if (known !== undefined) {
      return known;
    }
    const preferred = preferredSteward(name, stewards);
    this.#preferredByDuty.set(name, preferred);
    return preferred;
  }

  #resetPreferred(stewards: readonly Member[]): void {
    const ids = stewards.map(({ id }) => id).join();
    if (ids !== this.#stewardIds) {
      this.#stewardIds = ids;
      this.#preferredByDuty.clear();
    }
  }

  #setPreferred(duty: Duty, preferred: string, at: Moment): void {
    if (preferred !== duty.preferred) {
      duty.preferred = preferred;
      duty.preferredSince = at.monotonic;
    }
  }

  #isWanted(name: string, duty: Duty, at: Moment): boolean {
    if (this.#leaving) {
      return false;
    }
    if (duty.preferred !== this.#self.id) {
      return duty.lease.owned && !this.#mayMove(name, duty, at);
    }
    return true;
  }

  #mayMove(name: string, duty: Duty, at: Moment): boolean {
    const turn = Math.floor(at.wall / moveTurnMs) % turnsPerRound;
    const stable = at.monotonic - duty.preferredSince >= moveDelayMs;
    return duty.preferred !== "" && stable &&
      hashText(name) % turnsPerRound === turn;
  }
}

function preferredSteward(duty: string, stewards: readonly Member[]): string {
  let best = "";
  let highestWeight = -1;
  for (const { id } of stewards) {
    const weight = hashText(`${duty}\n${id}`);
    if (weight > highestWeight || (weight === highestWeight && id < best)) {
      best = id;
      highestWeight = weight;
    }
  }
  return best;
}

function numberedNames(name: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${name}/${index}`);
}
