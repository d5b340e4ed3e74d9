import type { Moment, Random } from "@lavenderferry/runtime";
import type { Exchange } from "./exchange.ts";
import type { FleetNodeOptions } from "./fleet_node_options.ts";
import type { Versioned } from "./fleet_updates.ts";
import type { Marks } from "./marks.ts";
import type { Member } from "./member.ts";
import { MemberProbe } from "./member_probe.ts";
import type { Membership } from "./membership.ts";
import { choosePeers, createIntervals } from "./peer_selection.ts";

/** Parts of a process that its review of peers uses. */
export interface PeerReviewParts {
  readonly membership: Membership;
  readonly marks: Marks;
  readonly exchange: Exchange;
  readonly random: Random;
}

/** The choice of the peers that a process calls, from time to time. */
export class PeerReview {
  readonly #options: Pick<
    FleetNodeOptions<Versioned>,
    "fanOut" | "meshSize" | "freshnessMs"
  >;
  readonly #parts: PeerReviewParts;
  readonly #probe: MemberProbe;

  constructor(
    options: Pick<
      FleetNodeOptions<Versioned>,
      "fanOut" | "meshSize" | "freshnessMs"
    >,
    parts: PeerReviewParts,
  ) {
    this.#options = options;
    this.#parts = parts;
    this.#probe = new MemberProbe(parts.random);
  }

  /** Whether there are so few members that each calls all others. */
  get isMesh(): boolean {
    const { meshSize = 0 } = this.#options;
    return this.#parts.membership.all().length - 1 <= meshSize;
  }

  /**
   * Chooses the peers to call and removes what is not sent any more. `ranked` are
   * the members by rank as readers of the store.
   */
  review(ranked: readonly Member[], at: Moment): void {
    const { membership, marks, exchange } = this.#parts;
    const { fanOut, meshSize, freshnessMs } = this.#options;
    const readers = freshnessMs === undefined ? [] : ranked;
    const peers = [
      ...choosePeers(membership.self, membership.all(), {
        fanOut,
        meshSize,
        readers,
      }),
      ...this.#probe.choose(membership.goneButListed(), at),
    ];
    const isMesh = meshSize === undefined || this.isMesh;
    const intervalMsOf = createIntervals({ isMesh, readers });
    exchange.setPeers(peers, { at, intervalMsOf });
    exchange.retain("members", (id) => membership.get(id) !== undefined);
    exchange.retain("marks", (id) => marks.get(id) !== undefined);
  }
}
