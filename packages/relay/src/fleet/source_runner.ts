import { toFailure } from "@lavenderferry/errors";
import type { Row, Vm } from "@lavenderferry/platform";
import { RowFollower, versionInEra, vmSchema } from "@lavenderferry/platform";
import type { SuspectBlock } from "@lavenderferry/policy";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import { z } from "zod";
import type { RelayPorts } from "../ports.ts";
import type { SourceEffect } from "../relay_effect.ts";
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

const suspectsSchema = z.array(z.object({
  block: z.string(),
  clearances: z.int().min(0),
  ends: z.array(z.string()),
  changedAt: z.number(),
}));

/**
 * Milliseconds for which the store may hold a long poll for a newer routing. A
 * dead connection is detected after this time plus the client's time-out.
 */
const routingWaitMs = 2_500;

/**
 * Milliseconds for which the store may hold a long poll for changed upstreams.
 * They change so often that it usually answers at once.
 */
const upstreamsWaitMs = 1_000;

/**
 * Reads routings, upstreams and members from the platform's store, and writes
 * this process's own member row.
 */
export class SourceRunner {
  readonly #ports: RelayPorts;
  readonly #settings: RelaySettings;
  readonly #routings = new RowFollower();
  readonly #upstreams = new RowFollower();
  #era: number | null = null;
  #memberVersion: number | null = null;
  #suspectsVersion: number | null = null;

  constructor(ports: RelayPorts, settings: RelaySettings) {
    this.#ports = ports;
    this.#settings = settings;
  }

  readonly handlers: EffectHandlers<RelayEvent, SourceEffect> = {
    follow_routing: ({ waits }, dispatch) =>
      this.#run(this.#followRouting(waits), "routing_failed", dispatch),
    follow_upstreams: (_effect, dispatch) =>
      this.#run(this.#followUpstreams(), "upstreams_failed", dispatch),
    list_members: (_effect, dispatch) =>
      this.#run(this.#listMembers(), "members_failed", dispatch),
    state_member: ({ leaving }, dispatch) =>
      this.#run(this.#writeMember(leaving), "member_failed", dispatch),
    read_suspects: (_effect, dispatch) =>
      this.#run(this.#readSuspects(), "suspects_failed", dispatch),
    state_suspects: ({ records }, dispatch) =>
      this.#run(
        this.#writeSuspects(records),
        "suspects_unwritten",
        dispatch,
      ),
  };

  /**
   * Dispatches the result of an operation, after a change of the store's era if
   * the operation has learned one.
   */
  #run(
    operation: Promise<RelayEvent>,
    failureKind: SourceFailureKind,
    dispatch: Dispatch<RelayEvent>,
  ): void {
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

  async #followRouting(waits: boolean): Promise<RelayEvent> {
    const { rows } = this.#ports;
    const waitMs = waits ? routingWaitMs : 0;
    const prefix = rows.routingPrefix;
    const { changed, confirmedAt } = await this.#follow(this.#routings, {
      prefix,
      waitMs,
    });
    const row = this.#routings.rows.get(rows.routingKey);
    if (!changed || row === undefined) {
      return { kind: "routing_unchanged", confirmedAt };
    }
    const routing = rows.readRouting(row.value);
    const version = versionInEra(row.version);
    return routing === null
      ? { kind: "routing_unreadable", version, confirmedAt }
      : { kind: "routing_learned", routing, confirmedAt };
  }

  async #followUpstreams(): Promise<RelayEvent> {
    const { rows } = this.#ports;
    const { confirmedAt: askedAt } = await this.#follow(this.#upstreams, {
      prefix: rows.upstreamPrefix,
      waitMs: upstreamsWaitMs,
    });
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
    { prefix, waitMs }: { readonly prefix: string; readonly waitMs: number },
  ): Promise<{ readonly changed: boolean; readonly confirmedAt: number }> {
    const { store } = this.#ports;
    const { after } = follower;
    const askedAt = performance.now();
    // A full read does not wait for changes, so it can time out sooner.
    const heldMs = after === null ? 0 : waitMs;
    const changes = await store.changes(prefix, after, heldMs);
    const changed = follower.applyChanges(changes);
    if (changes.lost && after !== null) {
      return await this.#follow(follower, { prefix, waitMs });
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

/** Returns an error's kind and its message, or its text if that is empty. */
function toFailureFields(thrown: unknown) {
  const failure = toFailure(thrown);
  const detail = failure.message === "" ? String(thrown) : failure.message;
  return { error: failure.kind, detail };
}
