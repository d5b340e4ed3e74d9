import type { Vm } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import type { Member, MemberRole, MemberState } from "./member.ts";
import { supersedes } from "./member.ts";

/** Consecutive failed exchanges after which a member is suspected. */
export const failuresToSuspect = 2;

/** Time that a suspected member has to refute the suspicion. */
export const suspicionTimeoutMs = 3_000;

/** Time for which the record of a member that is gone is retained. */
export const goneRetentionMs = 60_000;

/** Maximum number of members whose records a process keeps. */
export const maxMembers = 4_096;

interface TrackedMember {
  record: Member;
  /** Whether the latest VM list contains the member. */
  listed: boolean;
  /** Consecutive failed exchanges. */
  failures: number;
  /** Monotonic milliseconds at which a suspected or gone state expires. */
  deadline: number;
}

/**
 * The members that a process knows of, from three sources: the VM list, which
 * lags behind, its own exchanges, and the records that its peers send.
 */
export class Membership {
  readonly #members = new Map<string, TrackedMember>();
  readonly #changed = new Set<string>();
  #self: Member;

  constructor(self: Member) {
    this.#self = self;
    this.#changed.add(self.id);
  }

  /** This process's own record. */
  get self(): Member {
    return this.#self;
  }

  /** Returns the records of all members, this process first. */
  all(): readonly Member[] {
    return [
      this.#self,
      ...[...this.#members.values()].map(({ record }) => record),
    ];
  }

  /** Returns members that are gone here but that the VM list still contains. */
  goneButListed(): readonly Member[] {
    return [...this.#members.values()]
      .filter(({ record, listed }) => record.state === "gone" && listed)
      .map(({ record }) => record);
  }

  /** Returns a member by its id. */
  get(id: string): Member | undefined {
    return id === this.#self.id ? this.#self : this.#members.get(id)?.record;
  }

  /** Returns the ids whose records changed since the last call. */
  takeChangedIds(): readonly string[] {
    const ids = [...this.#changed];
    this.#changed.clear();
    return ids;
  }

  /** Changes this process's own record and raises its sequence. */
  updateSelf(change: Partial<Member>): void {
    const sequence = this.#self.sequence + 1;
    this.#self = { ...this.#self, ...change, sequence };
    this.#changed.add(this.#self.id);
  }

  /** Applies the platform's VM list; suspects members that left it. */
  applyVmList(vms: readonly Vm[], at: Moment): void {
    const listed = new Set(vms.map(({ id }) => id));
    for (const vm of vms) {
      this.#applyVm(vm);
    }
    for (const member of this.#members.values()) {
      const dropped = member.listed && !listed.has(member.record.id);
      member.listed = listed.has(member.record.id);
      if (dropped) {
        this.#suspect(member, at);
      }
    }
  }

  /** Merges a record from a peer; returns whether it changed a record here. */
  merge(record: Member, at: Moment): boolean {
    if (record.id === this.#self.id) {
      return this.#refute(record);
    }
    const member = this.#members.get(record.id);
    if (member === undefined) {
      return this.#add(record, { listed: false, at });
    }
    if (!supersedes(record, member.record)) {
      return false;
    }
    if (record.epoch !== member.record.epoch) {
      member.failures = 0;
    }
    this.#setRecord(member, record, at);
    return true;
  }

  /** Clears the failures of a member if its current run answered. */
  recordAnswer(id: string, epoch: string): void {
    const member = this.#members.get(id);
    if (member !== undefined && member.record.epoch === epoch) {
      member.failures = 0;
    }
  }

  /** Counts a failed exchange; suspects the member after repeated ones. */
  recordFailure(id: string, at: Moment): void {
    const member = this.#members.get(id);
    if (member === undefined) {
      return;
    }
    member.failures += 1;
    if (member.failures >= failuresToSuspect) {
      this.#suspect(member, at);
    }
  }

  /** Makes suspected members gone and removes gone ones at their deadlines. */
  expire(at: Moment): void {
    for (const [id, member] of this.#members) {
      if (at.monotonic < member.deadline) {
        continue;
      }
      if (member.record.state === "suspected") {
        this.#setRecord(member, { ...member.record, state: "gone" }, at);
      } else if (member.record.state === "gone" && !member.listed) {
        this.#members.delete(id);
      }
    }
  }

  #applyVm(vm: Vm): void {
    const { id, role, peers } = vm;
    if (id === this.#self.id || peers === undefined || !isMemberRole(role)) {
      return;
    }
    const member = this.#members.get(id);
    if (member === undefined) {
      const record = { ...vm, role, peers, epoch: "", sequence: 0 };
      this.#add(toMember(record), { listed: true, at: null });
    } else if (member.record.epoch === "" && member.record.peers !== peers) {
      member.record = { ...member.record, peers, state: vm.state };
      member.failures = 0;
    } else if (vm.state === "leaving" && member.record.state === "live") {
      member.record = { ...member.record, state: "leaving" };
      this.#changed.add(id);
    }
  }

  #add(
    record: Member,
    { listed, at }: { readonly listed: boolean; readonly at: Moment | null },
  ): boolean {
    if (this.#members.size >= maxMembers) {
      return false;
    }
    const member = { record, listed, failures: 0, deadline: 0 };
    this.#members.set(record.id, member);
    this.#changed.add(record.id);
    if (at !== null) {
      this.#setRecord(member, record, at);
    }
    return true;
  }

  #suspect(member: TrackedMember, at: Moment): void {
    const { state } = member.record;
    if (state === "live" || state === "leaving") {
      this.#setRecord(member, { ...member.record, state: "suspected" }, at);
    }
  }

  #setRecord(member: TrackedMember, record: Member, at: Moment): void {
    member.record = record;
    member.deadline = at.monotonic + stateDurationMs(record.state);
    this.#changed.add(record.id);
  }

  #refute(record: Member): boolean {
    const sameRun = record.epoch === this.#self.epoch;
    const alive = record.state === "live" || record.state === "leaving";
    const outdated = record.sequence < this.#self.sequence;
    if (outdated || (sameRun && alive)) {
      return false;
    }
    this.#self = { ...this.#self, sequence: record.sequence + 1 };
    this.#changed.add(this.#self.id);
    return true;
  }
}

function stateDurationMs(state: MemberState): number {
  return state === "gone" ? goneRetentionMs : suspicionTimeoutMs;
}

function isMemberRole(role: string): role is MemberRole {
  return role === "entry" || role === "steward";
}

function toMember(member: Member): Member {
  const { id, epoch, sequence, state, role } = member;
  const { dataCentre, region, address, peers } = member;
  return {
    id,
    epoch,
    sequence,
    state,
    role,
    dataCentre,
    region,
    address,
    peers,
  };
}
