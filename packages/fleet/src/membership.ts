import type { Vm } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import type { Member, MemberRole, MemberState } from "./member.ts";
import { supersedes } from "./member.ts";

/** Failed exchanges in a row after which a member is suspected. */
export const failuresToSuspect = 2;

/** Milliseconds that a suspected member has to refute. */
export const refuteMs = 3_000;

/** Milliseconds that a member is remembered after it is gone. */
export const rememberMs = 60_000;

/** Members that a process remembers at most. */
export const maxMembers = 4_096;

interface Entry {
  record: Member;
  listed: boolean;
  failures: number;
  /** Monotonic milliseconds at which the state ends by itself. */
  deadline: number;
}

/**
 * The members that a process knows of, from three sources: the VM list, which
 * lags, its own exchanges, and the words of its peers.
 */
export class Membership {
  readonly #entries = new Map<string, Entry>();
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

  /** All members, this process among them. */
  all(): readonly Member[] {
    return [
      this.#self,
      ...[...this.#entries.values()].map(({ record }) => record),
    ];
  }

  /** Members that are gone here though the VM list still names them. */
  lost(): readonly Member[] {
    return [...this.#entries.values()]
      .filter(({ record, listed }) => record.state === "gone" && listed)
      .map(({ record }) => record);
  }

  /** Returns a member by its id. */
  get(id: string): Member | undefined {
    return id === this.#self.id ? this.#self : this.#entries.get(id)?.record;
  }

  /** Returns the ids whose records changed since the last call. */
  takeChanged(): readonly string[] {
    const ids = [...this.#changed];
    this.#changed.clear();
    return ids;
  }

  /** States something new of this process. */
  state(change: Partial<Member>): void {
    const sequence = this.#self.sequence + 1;
    this.#self = { ...this.#self, ...change, sequence };
    this.#changed.add(this.#self.id);
  }

  /** Takes the platform's list; members that it dropped are suspected. */
  learnVms(vms: readonly Vm[], at: Moment): void {
    const listed = new Set(vms.map(({ id }) => id));
    for (const vm of vms) {
      this.#learnVm(vm);
    }
    for (const entry of this.#entries.values()) {
      const dropped = entry.listed && !listed.has(entry.record.id);
      entry.listed = listed.has(entry.record.id);
      if (dropped) {
        this.#suspect(entry, at);
      }
    }
  }

  /** Takes a record from a peer; returns whether it was news. */
  learn(record: Member, at: Moment): boolean {
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
    this.#set(entry, record, at);
    return true;
  }

  /** Notes that the run of a member answered. */
  heard(id: string, epoch: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined && entry.record.epoch === epoch) {
      entry.failures = 0;
    }
  }

  /** Notes that an exchange with a member failed. */
  failed(id: string, at: Moment): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) {
      return;
    }
    entry.failures += 1;
    if (entry.failures >= failuresToSuspect) {
      this.#suspect(entry, at);
    }
  }

  /** Ends suspicions and memories whose deadlines have passed. */
  expire(at: Moment): void {
    for (const [id, entry] of this.#entries) {
      if (at.monotonic < entry.deadline) {
        continue;
      }
      if (entry.record.state === "suspected") {
        this.#set(entry, { ...entry.record, state: "gone" }, at);
      } else if (entry.record.state === "gone" && !entry.listed) {
        this.#entries.delete(id);
      }
    }
  }

  #learnVm(vm: Vm): void {
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
      this.#set(entry, record, at);
    }
    return true;
  }

  #suspect(entry: Entry, at: Moment): void {
    const { state } = entry.record;
    if (state === "live" || state === "leaving") {
      this.#set(entry, { ...entry.record, state: "suspected" }, at);
    }
  }

  #set(entry: Entry, record: Member, at: Moment): void {
    entry.record = record;
    entry.deadline = at.monotonic + stateMs(record.state);
    this.#changed.add(record.id);
  }

  #refute(record: Member): boolean {
    const own = record.epoch === this.#self.epoch;
    const harmless = record.state === "live" || record.state === "leaving";
    const past = record.sequence < this.#self.sequence;
    if (past || (own && harmless)) {
      return false;
    }
    this.#self = { ...this.#self, sequence: record.sequence + 1 };
    this.#changed.add(this.#self.id);
    return true;
  }
}

function stateMs(state: MemberState): number {
  return state === "gone" ? rememberMs : refuteMs;
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
