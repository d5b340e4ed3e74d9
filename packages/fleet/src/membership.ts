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

/** Most members whose records a process keeps. */
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
  readonly #entries = new Map<string, TrackedMember>();
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
      ...[...this.#entries.values()].map(({ record }) => record),
    ];
  }

  /** Returns members that are gone here but that the VM list still contains. */
  goneButListed(): readonly Member[] {
    return [...this.#entries.values()]
      .filter(({ record, listed }) => record.state === "gone" && listed)
      .map(({ record }) => record);
  }

  /** Returns a member by its id. */
  get(id: string): Member | undefined {
    return id === this.#self.id ? this.#self : this.#entries.get(id)?.record;
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
    for (const entry of this.#entries.values()) {
      const dropped = entry.listed && !listed.has(entry.record.id);
      entry.listed = listed.has(entry.record.id);
      if (dropped) {
        this.#suspect(entry, at);
      }
    }
  }

  /** Merges a record from a peer; returns whether it changed a record here. */
  merge(record: Member, at: Moment): boolean {
    if (record.id === this.#self.id) {
      return this.#refute(record);
    }
    const entry = this.#entries.get(record.id);
    if (entry === undefined) {
      return this.#add(record, { listed: false, at });
    }
    if (!supersedes(record, entry.record)) {
      return false;
    }
    if (record.epoch !== entry.record.epoch) {
      entry.failures = 0;
    }
    this.#setRecord(entry, record, at);
    return true;
  }

  /** Clears the failures of a member if its current run answered. */
  recordAnswer(id: string, epoch: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined && entry.record.epoch === epoch) {
      entry.failures = 0;
    }
  }

  /** Counts a failed exchange; suspects the member after repeated ones. */
  recordFailure(id: string, at: Moment): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      return;
    }
    entry.failures += 1;
    if (entry.failures >= failuresToSuspect) {
      this.#suspect(entry, at);
    }
  }

  /** Moves overdue suspected members to gone and removes overdue gone ones. */
  expire(at: Moment): void {
    for (const [id, entry] of this.#entries) {
      if (at.monotonic < entry.deadline) {
        continue;
      }
      if (entry.record.state === "suspected") {
        this.#setRecord(entry, { ...entry.record, state: "gone" }, at);
      } else if (entry.record.state === "gone" && !entry.listed) {
        this.#entries.delete(id);
      }
    }
  }

  #applyVm(vm: Vm): void {
    const { id, role, peers } = vm;
    if (id === this.#self.id || peers === undefined || !isMemberRole(role)) {
      return;
    }
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      const record = { ...vm, role, peers, epoch: "", sequence: 0 };
      this.#add(toMember(record), { listed: true, at: null });
    } else if (entry.record.epoch === "" && entry.record.peers !== peers) {
      entry.record = { ...entry.record, peers, state: vm.state };
      entry.failures = 0;
    } else if (vm.state === "leaving" && entry.record.state === "live") {
      entry.record = { ...entry.record, state: "leaving" };
      this.#changed.add(id);
    }
  }

  #add(
    record: Member,
    { listed, at }: { readonly listed: boolean; readonly at: Moment | null },
  ): boolean {
    if (this.#entries.size >= maxMembers) {
      return false;
    }
    const entry = { record, listed, failures: 0, deadline: 0 };
    this.#entries.set(record.id, entry);
    this.#changed.add(record.id);
    if (at !== null) {
      this.#setRecord(entry, record, at);
    }
    return true;
  }

  #suspect(entry: TrackedMember, at: Moment): void {
    const { state } = entry.record;
    if (state === "live" || state === "leaving") {
      this.#setRecord(entry, { ...entry.record, state: "suspected" }, at);
    }
  }

  #setRecord(entry: TrackedMember, record: Member, at: Moment): void {
    entry.record = record;
    entry.deadline = at.monotonic + stateDurationMs(record.state);
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
