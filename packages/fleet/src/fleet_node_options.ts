import type { Configuration } from "@lavenderferry/configuration";
import type { Versioned } from "./fleet_updates.ts";
import type { MemberRole } from "./member.ts";
import type { FanOut } from "./peer_selection.ts";

/** Identity and settings of one process of the fleet. */
export interface FleetNodeOptions<Document extends Versioned = Configuration> {
  readonly id: string;
  readonly epoch: string;
  readonly role: MemberRole;
  readonly dataCentre: string;
  readonly region: string;
  readonly seed: number;
  /** Parses a configuration from a peer; returns `null` if it is invalid. */
  readonly readConfiguration?: (document: unknown) => Document | null;
  /** Number of configuration versions retained for peers that lag behind. */
  readonly keptVersions?: number;
  /**
   * Whether configurations are read from one peer at a time, by calls of their
   * own, where peers do so as well. Else they are part of exchanges.
   */
  readonly readsDocuments?: boolean;
  /** Number of peers that this process calls. */
  readonly fanOut?: FanOut;
  /** Number of peers up to which this process calls all of them. */
  readonly meshSize?: number;
  /**
   * Milliseconds within which each process must know of changes in the
   * platform's store. If set, some processes read it for all, and each calls
   * at least one of them.
   */
  readonly freshnessMs?: number;
  /** Whether this process follows the evacuations of data centres. */
  readonly followsEvacuations?: boolean;
}
