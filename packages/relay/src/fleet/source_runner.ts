import { toFailure } from "@lavenderferry/errors";
import type { EvacuationList } from "@lavenderferry/fleet";
import type { Row, StoreVersion, Vm } from "@lavenderferry/platform";
import { RowFollower, versionInEra, vmSchema } from "@lavenderferry/platform";
import type { SuspectBlock } from "@lavenderferry/policy";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import { runInTurns } from "@lavenderferry/runtime";
import { z } from "zod";
import type { RelayPorts } from "../ports.ts";
import type { FollowLimits, SourceEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";
import type { RelaySettings } from "../settings.ts";

/** Prefix of the keys of the fleet's own members. */
const membersPrefix = "members/";

/** Key of the row with the blocks of prompts under quarantine. */
const suspectsKey = "quarantine/blocks";

/** Limit on the records in that row, whose size is limited as well. */
const maxStoredSuspects = 64;

/** Kinds of the events of failed operations. */
type SourceFailureKind =
  | "routing_failed"
  | "upstreams_failed"
  | "members_failed"
  | "suspects_failed"
  | "suspects_unwritten"
  | "member_failed";

/** The event that reports the failure of an operation, by its effect. */
const failureKinds: Readonly<Record<SourceEffect["kind"], SourceFailureKind>> =
  {
    follow_routing: "routing_failed",
    follow_upstreams: "upstreams_failed",
    list_members: "members_failed",
    state_member: "member_failed",
    read_suspects: "suspects_failed",
    state_suspects: "suspects_unwritten",
  };

const suspectsSchema = z.array(z.object({
  block: z.string(),
  clearances: z.int().min(0),
  ends: z.array(z.string()),
  changedAt: z.number(),
}));

/**
 * Reads routings, upstreams and members from the platform's store, and writes
 * this process's own member row.
 */
export class SourceRunner {
  readonly #ports: RelayPorts;
  readonly #settings: RelaySettings;
  readonly #onCall: (kind: SourceEffect["kind"]) => void;
  readonly #routings = new RowFollower();
  readonly #upstreams = new RowFollower();
  /** Version of the routing's row that was last decoded. */
  #routingVersion: StoreVersion = 0;
  #era: number | null = null;
  #memberVersion: number | null = null;
  #suspectsVersion: number | null = null;

  /** `onCall` is called with the kind of each operation of the store. */
  constructor(
    ports: RelayPorts,
    settings: RelaySettings,
    onCall: (kind: SourceEffect["kind"]) => void = () => undefined,
  ) {
    this.#ports = ports;
    this.#settings = settings;
    this.#onCall = onCall;
  }

  readonly handlers: EffectHandlers<RelayEvent, SourceEffect> = {
    follow_routing: (effect, dispatch) =>
      this.#run(effect.kind, this.#followRouting(effect), dispatch),
    follow_upstreams: (effect, dispatch) =>
      this.#run(effect.kind, this.#followUpstreams(effect), dispatch),
    list_members: ({ kind }, dispatch) =>
      this.#run(kind, this.#listMembers(), dispatch),
    state_member: ({ kind, leaving }, dispatch) =>
      this.#run(kind, this.#writeMember(leaving), dispatch),
    read_suspects: ({ kind }, dispatch) =>
      this.#run(kind, this.#readSuspects(), dispatch),
    state_suspects: ({ kind, records }, dispatch) =>
      this.#run(kind, this.#writeSuspects(records), dispatch),
  };

  /**
   * Dispatches the result of an operation, after a change of the store's era if
   * the operation has learned one.
   */
  #run(
    kind: SourceEffect["kind"],
    operation: Promise<RelayEvent>,
    dispatch: Dispatch<RelayEvent>,
  ): void {
    this.#onCall(kind);
    const failureKind = failureKinds[kind];
    const report = (event: RelayEvent) => {
      const { era } = this.#ports.store;
      if (era !== this.#era && event.kind !== failureKind) {
        this.#era = era;
        dispatch({ kind: "store_era_learned", era });
      }
      dispatch(event);
    };
    operation.then(
      report,
      (error: unknown) =>
        report({ kind: failureKind, ...toFailureFields(error) }),
    );
  }

  async #followRouting(limits: FollowLimits): Promise<RelayEvent> {
    const { rows } = this.#ports;
    const { changed, confirmedAt } = await this.#follow(
      this.#routings,
      rows.routingPrefix,
      limits,
    );
    const evacuations = this.#listEvacuations();
    const row = this.#routings.rows.get(rows.routingKey);
    // Other rows of the table may have changed.
    if (!changed || row === undefined || row.version === this.#routingVersion) {
      return { kind: "routing_unchanged", confirmedAt, evacuations };
    }
    this.#routingVersion = row.version;
    const routing = await runInTurns(rows.readRouting(row.value));
    const version = versionInEra(row.version);
    return routing === null
      ? { kind: "routing_unreadable", version, confirmedAt, evacuations }
      : { kind: "routing_learned", routing, confirmedAt, evacuations };
  }

  /** Returns the data centres whose rows the table of the routing has. */
  #listEvacuations(): EvacuationList {
    const { evacuationPrefix: prefix } = this.#ports.rows;
    const dataCentres = [...this.#routings.rows.keys()]
      .filter((key) => key.startsWith(prefix))
      .map((key) => key.slice(prefix.length));
    return { version: this.#routings.version, dataCentres };
  }

  async #followUpstreams(limits: FollowLimits): Promise<RelayEvent> {
    const { rows } = this.#ports;
    const { confirmedAt: askedAt } = await this.#follow(
      this.#upstreams,
      rows.upstreamPrefix,
      limits,
    );
    const vms: Vm[] = [];
    const unreadable: string[] = [];
    for (const [key, { value, version }] of this.#upstreams.rows) {
      const vm = rows.readUpstream(key, value);
      if (vm === null) {
        unreadable.push(key);
      } else {
        vms.push({ ...vm, version });
      }
    }
    const { version } = this.#upstreams;
    return { kind: "upstreams_learned", vms, version, unreadable, askedAt };
  }

  /**
   * Reads what has changed in a table, or all of it if the store has no history
   * of the changes any more. Returns whether any row changed, and a time at
   * which the rows were those of the store.
   */
  async #follow(
    follower: RowFollower,
    prefix: string,
    limits: FollowLimits,
  ): Promise<{ readonly changed: boolean; readonly confirmedAt: number }> {
    const { store } = this.#ports;
    const { after } = follower;
    const askedAt = performance.now();
    // A full read does not wait for changes, but may have much to transfer.
    const isFull = after === null;
    const heldMs = isFull
      ? 0
      : Math.max(0, Math.floor(limits.heldUntil - askedAt));
    const deadline = isFull ? undefined : limits.deadline ?? undefined;
    const changes = await store.changes(prefix, after, {
      waitMs: heldMs,
      deadline,
    });
    const changed = follower.applyChanges(changes);
    if (changes.lost && !isFull) {
      return await this.#follow(follower, prefix, limits);
    }
    // The store answers a poll either at once on a change, or at its end.
    const wasHeld = changes.rows.length === 0 &&
      performance.now() - askedAt >= heldMs;
    return { changed, confirmedAt: wasHeld ? askedAt + heldMs : askedAt };
  }

  async #listMembers(): Promise<RelayEvent> {
    const rows = await this.#ports.store.scan(membersPrefix, "leases");
    const vms: Vm[] = [];
    const unreadable: string[] = [];
    for (const { key, version, value } of rows) {
      const parsed = vmSchema.safeParse(value);
      if (key === this.#memberKey) {
        this.#memberVersion = version;
      } else if (parsed.success) {
        vms.push(parsed.data);
      } else {
        unreadable.push(key);
      }
    }
    return { kind: "members_learned", vms, unreadable };
  }

  async #readSuspects(): Promise<RelayEvent> {
    const [row] = await this.#ports.store.read([suspectsKey], "leases");
    const records = this.#learnSuspectsRow(row ?? null);
    return { kind: "suspects_learned", records };
  }

  async #writeSuspects(
    records: readonly SuspectBlock[],
  ): Promise<RelayEvent> {
    const value = records.slice(0, maxStoredSuspects)
      .map(({ block, clearances, ends, changedAt }) => ({
        block,
        clearances,
        ends,
        changedAt,
      }));
    const ifVersion = this.#suspectsVersion;
    const write = { key: suspectsKey, ifVersion, value };
    const result = await this.#ports.store.commit([write], "leases");
    if (result.kind === "committed") {
      this.#suspectsVersion = result.versions[0] ?? null;
      return { kind: "suspects_written" };
    }
    const stored = this.#learnSuspectsRow(result.rows[0] ?? null);
    return { kind: "suspects_conflicted", records: stored };
  }

  #learnSuspectsRow(row: Row | null): readonly SuspectBlock[] {
    this.#suspectsVersion = row?.version ?? null;
    return suspectsSchema.safeParse(row?.value).data ?? [];
  }

  get #memberKey(): string {
    return `${membersPrefix}${this.#settings.vm}`;
  }

  async #writeMember(leaving: boolean): Promise<RelayEvent> {
    const { vm, dataCentre, region, callers, peers } = this.#settings;
    const value = {
      id: vm,
      role: "entry",
      dataCentre,
      region,
      state: leaving ? "leaving" : "live",
      address: `${callers.ip}:${callers.port}`,
      peers: `${peers.ip}:${peers.port}`,
    };
    const write = {
      key: this.#memberKey,
      ifVersion: this.#memberVersion,
      value,
    };
    const result = await this.#ports.store.commit([write], "leases");
    if (result.kind === "committed") {
      this.#memberVersion = result.versions[0] ?? null;
      return { kind: "member_written" };
    }
    // The row is from an earlier run or from a write whose answer was lost.
    this.#memberVersion = result.rows[0]?.version ?? null;
    const detail = "The member's row has another version";
    return { kind: "member_failed", error: "conflict", detail };
  }
}

/** Returns the fields of a failed operation's event. */
function toFailureFields(thrown: unknown) {
  const failure = toFailure(thrown);
  const { kind: error, notRun } = failure;
  const detail = failure.message === "" ? String(thrown) : failure.message;
  return { error, detail, isUnanswered: notRun !== true };
}
