import { toFailure } from "@lavenderferry/errors";
import type { Vm } from "@lavenderferry/platform";
import { RowFollower, vmSchema } from "@lavenderferry/platform";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { RelayPorts } from "../ports.ts";
import type { SourceEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";
import type { RelaySettings } from "../settings.ts";

/** Prefix of the keys of the fleet's own members. */
const membersPrefix = "members/";

/**
 * Milliseconds that the store may hold a question for a newer routing. A
 * connection that fell silent is found after this and the client's timeout.
 */
const routingWaitMs = 2_500;

/** Upstreams change all the time, so that the store answers at once. */
const upstreamsWaitMs = 1_000;

/** Reads the platform's store for the reducer. */
export class SourceRunner {
  readonly #ports: RelayPorts;
  readonly #settings: RelaySettings;
  readonly #routings = new RowFollower();
  readonly #upstreams = new RowFollower();
  #memberVersion: number | null = null;

  constructor(ports: RelayPorts, settings: RelaySettings) {
    this.#ports = ports;
    this.#settings = settings;
  }

  /** Handlers of the effects towards the platform. */
  readonly handlers: EffectHandlers<RelayEvent, SourceEffect> = {
    follow_routing: (_effect, dispatch) => {
      this.#followRouting().then(
        dispatch,
        (error: unknown) => {
          const { kind } = toFailure(error);
          dispatch({ kind: "routing_failed", error: kind });
        },
      );
    },
    follow_upstreams: (_effect, dispatch) => {
      this.#followUpstreams().then(
        (vms) => dispatch({ kind: "upstreams_learned", vms }),
        (error: unknown) => {
          const { kind } = toFailure(error);
          dispatch({ kind: "upstreams_failed", error: kind });
        },
      );
    },
    list_members: (_effect, dispatch) => {
      this.#listMembers().then(
        (vms) => dispatch({ kind: "members_learned", vms }),
        (error: unknown) => {
          const { kind } = toFailure(error);
          dispatch({ kind: "members_failed", error: kind });
        },
      );
    },
    state_member: ({ leaving }, dispatch) => this.#state(leaving, dispatch),
  };

  async #followRouting(): Promise<RelayEvent> {
    const { store, rows } = this.#ports;
    const { after } = this.#routings;
    const waitMs = after === null ? 0 : routingWaitMs;
    const changes = await store.changes(rows.routings, after, waitMs);
    const changed = this.#routings.take(changes);
    const row = this.#routings.rows.get(rows.routing);
    const routing = changed && row !== undefined
      ? rows.readRouting(row.value)
      : null;
    return routing === null
      ? { kind: "routing_unchanged" }
      : { kind: "routing_learned", routing };
  }

  async #followUpstreams(): Promise<readonly Vm[]> {
    const { store, rows } = this.#ports;
    const { after } = this.#upstreams;
    // A full read is answered at once; one that hangs is given up sooner.
    const waitMs = after === null ? 0 : upstreamsWaitMs;
    const changes = await store.changes(rows.upstreams, after, waitMs);
    this.#upstreams.take(changes);
    const vms: Vm[] = [];
    for (const [key, { value }] of this.#upstreams.rows) {
      const vm = rows.readUpstream(key, value);
      if (vm !== null) {
        vms.push(vm);
      }
    }
    return vms;
  }

  async #listMembers(): Promise<readonly Vm[]> {
    const rows = await this.#ports.store.scan(membersPrefix, "leases");
    const vms: Vm[] = [];
    for (const { key, version, value } of rows) {
      const parsed = vmSchema.safeParse(value);
      if (key === this.#key) {
        this.#memberVersion = version;
      } else if (parsed.success) {
        vms.push(parsed.data);
      }
    }
    return vms;
  }

  get #key(): string {
    return `${membersPrefix}${this.#settings.vm}`;
  }

  #state(leaving: boolean, dispatch: Dispatch<RelayEvent>): void {
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
    const write = { key: this.#key, ifVersion: this.#memberVersion, value };
    this.#ports.store.commit([write], "leases").then(
      (result) => {
        if (result.kind === "committed") {
          this.#memberVersion = result.versions[0] ?? null;
          dispatch({ kind: "member_stated" });
          return;
        }
        // An earlier run, or a write whose answer was lost, left the row.
        this.#memberVersion = result.rows[0]?.version ?? null;
        dispatch({ kind: "member_failed", error: "conflict" });
      },
      (error: unknown) => {
        const { kind } = toFailure(error);
        dispatch({ kind: "member_failed", error: kind });
      },
    );
  }
}
