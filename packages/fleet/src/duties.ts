import { shardCount } from "@lavenderferry/ledger";
import type { CommitResult, Row } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import { hashText } from "@lavenderferry/runtime";
import type { DutyDirectory } from "./duty_directory.ts";
import type { Candidate, LeaseAction } from "./lease.ts";
import { Lease } from "./lease.ts";
import type { Member } from "./member.ts";

/** Parts of the recovery of what dead processes left, each a duty. */
export const recoveryParts = 16;

/** Milliseconds for which another process must be the better holder. */
export const settleMs = 10_000;

/** Milliseconds of one turn in which a part of the duties may move. */
export const turnMs = 10_000;

/** Turns in a round: at most about a tenth of the duties moves at once. */
export const turnsInRound = 10;

/** Milliseconds between two looks at all duties. */
const lookMs = 250;

/** An operation on the table for one duty. */
export interface DutyAction {
  readonly duty: string;
  readonly action: LeaseAction;
}

/** What the duties are spread by. */
export interface DutyView {
  readonly members: readonly Member[];
  readonly directory: DutyDirectory;
  readonly pools: readonly string[];
}

interface Duty {
  readonly lease: Lease;
  best: string;
  bestSince: number;
}

/** Returns the names of all duties. */
export function dutyNames(pools: readonly string[]): readonly string[] {
  return [
    ...numbered("settlement", shardCount),
    ...numbered("recovery", recoveryParts),
    ...pools.map((pool) => `placement/${pool}`),
  ];
}

/**
 * The duties of one steward. Each duty belongs to the steward that rendezvous
 * hashing names among the live ones. A holder keeps its duty until another one
 * has been named for a while and it is the duty's turn to move.
 */
export class Duties {
  readonly #self: Candidate;
  readonly #duties = new Map<string, Duty>();
  /** Best steward by duty, as long as the same stewards live. */
  readonly #best = new Map<string, string>();
  #stewards = "";
  #lookAt = 0;
  #leaving = false;

  constructor(self: Candidate) {
    this.#self = self;
  }

  /** Returns the fence of a duty while it is held here. */
  dutyFence(duty: string, at: Moment): number | null {
    return this.#duties.get(duty)?.lease.fenceAt(at) ?? null;
  }

  /** Returns whether orders may be sent under a duty. */
  mayOrder(duty: string, at: Moment, checksFence: boolean): boolean {
    return this.#duties.get(duty)?.lease.mayOrder(at, checksFence) ?? false;
  }

  /** Returns the duties that are held here. */
  held(at: Moment): readonly string[] {
    return [...this.#duties]
      .filter(([, { lease }]) => lease.fenceAt(at) !== null)
      .map(([duty]) => duty);
  }

  /** Whether no row names this process as an owner. */
  get released(): boolean {
    return [...this.#duties.values()].every(({ lease }) => !lease.owned);
  }

  /** Gives all duties up, for a planned stop. */
  leave(): void {
    this.#leaving = true;
    this.#lookAt = 0;
  }

  /** Returns the operations that are due. */
  step(view: DutyView, at: Moment): readonly DutyAction[] {
    if (at.monotonic < this.#lookAt) {
      return [];
    }
    this.#lookAt = at.monotonic + lookMs;
    const stewards = view.members.filter((member) =>
      member.role === "steward" && member.state === "live" &&
      !(this.#leaving && member.id === this.#self.id)
    );
    this.#forgetBest(stewards);
    return dutyNames(view.pools).flatMap((name) => {
      const duty = this.#duty(name);
      this.#rank(duty, this.#bestFor(name, stewards), at);
      const told = view.directory.get(name);
      if (told?.holder === "") {
        duty.lease.givenUp(told.fence);
      }
      const idle = duty.best !== this.#self.id && !duty.lease.owned;
      const action = idle ? null : duty.lease.step({
        wanted: this.#wants(name, duty, at),
        isLive: (owner, epoch) =>
          stewards.some((each) => each.id === owner && each.epoch === epoch),
      }, at);
      return action === null ? [] : [{ duty: name, action }];
    });
  }

  /** Takes the row that was read for a duty. */
  read(duty: string, row: Row | null, at: Moment): void {
    this.#duties.get(duty)?.lease.read(row, at);
  }

  /** Takes the result of a write for a duty. */
  written(duty: string, result: CommitResult, at: Moment): void {
    this.#duties.get(duty)?.lease.written(result, at);
  }

  /** Takes the failure of an operation for a duty. */
  failed(duty: string, notRun: boolean, at: Moment): void {
    this.#duties.get(duty)?.lease.failed(notRun, at);
  }

  #duty(name: string): Duty {
    const known = this.#duties.get(name);
    if (known !== undefined) {
      return known;
    }
    const lease = new Lease(`lease/${name}`, this.#self);
    const duty = { lease, best: "", bestSince: 0 };
    this.#duties.set(name, duty);
    return duty;
  }

  #bestFor(name: string, stewards: readonly Member[]): string {
    const known = this.#best.get(name);
    if (known !== undefined) {
      return known;
    }
    const best = bestFor(name, stewards);
    this.#best.set(name, best);
    return best;
  }

  #forgetBest(stewards: readonly Member[]): void {
    const names = stewards.map(({ id }) => id).join();
    if (names !== this.#stewards) {
      this.#stewards = names;
      this.#best.clear();
    }
  }

  #rank(duty: Duty, best: string, at: Moment): void {
    if (best !== duty.best) {
      duty.best = best;
      duty.bestSince = at.monotonic;
    }
  }

  #wants(name: string, duty: Duty, at: Moment): boolean {
    if (this.#leaving) {
      return false;
    }
    if (duty.best !== this.#self.id) {
      return duty.lease.owned && !this.#mayMove(name, duty, at);
    }
    return true;
  }

  #mayMove(name: string, duty: Duty, at: Moment): boolean {
    const turn = Math.floor(at.wall / turnMs) % turnsInRound;
    const settled = at.monotonic - duty.bestSince >= settleMs;
    return duty.best !== "" && settled &&
      hashText(name) % turnsInRound === turn;
  }
}

function bestFor(duty: string, stewards: readonly Member[]): string {
  let best = "";
  let highest = -1;
  for (const { id } of stewards) {
    const weight = hashText(`${duty}\n${id}`);
    if (weight > highest || (weight === highest && id < best)) {
      best = id;
      highest = weight;
    }
  }
  return best;
}

function numbered(name: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${name}/${index}`);
}
