import type { Configuration } from "@lavenderferry/configuration";
import type { RequestLimitRecord__Output } from "@lavenderferry/protocol";
import type { Mark } from "./marks.ts";
import type { Member } from "./member.ts";
import type { SuspectRecord } from "./suspect_record.ts";
import type { ListedUpstreams } from "./upstream_list.ts";

/** A document that is distributed to every process, by version. */
export interface Versioned {
  readonly version: number;
}

/** Work that one process has in flight at one engine. */
export interface PeerWork {
  readonly engine: string;
  readonly running: number;
  readonly tokens: number;
}

/** Counts of output lengths of one work class and model. */
export interface LengthCounts {
  readonly workClass: string;
  readonly model: string;
  readonly counts: readonly number[];
}

/** Updates that a process received from its peers since its last read. */
export interface FleetUpdates<Document extends Versioned = Configuration> {
  readonly marks: readonly Mark[];
  readonly configurations: readonly Document[];
  /** Work in flight by peer, for each peer whose figures changed. */
  readonly shares: ReadonlyMap<string, readonly PeerWork[]>;
  /** Counts of output lengths by peer. */
  readonly lengths: ReadonlyMap<string, readonly LengthCounts[]>;
  /** Members whose records changed. */
  readonly members: readonly Member[];
  /** Records of blocks under which engines ended, as peers know them. */
  readonly suspects: readonly SuspectRecord[];
  /** Records of limits that upstreams name, as peers know them. */
  readonly limits: readonly RequestLimitRecord__Output[];
  /** Latest era of the platform's table that a peer has read; 0 if unknown. */
  readonly storeEra: number;
  /** Whether a peer's news changed the data centres under evacuation. */
  readonly evacuationsChanged: boolean;
  /** The list of upstreams, if a peer's news changed or confirmed it. */
  readonly upstreams: RelayedUpstreams | null;
}

/** A list of upstreams that a peer has read. */
export interface RelayedUpstreams extends ListedUpstreams {
  /** Milliseconds for which the peer retains upstreams that are not listed. */
  readonly retentionMs: number;
}

/** Updates that are being collected. */
export interface MutableUpdates<Document> {
  readonly marks: Mark[];
  readonly configurations: Document[];
  readonly shares: Map<string, readonly PeerWork[]>;
  readonly lengths: Map<string, readonly LengthCounts[]>;
  readonly members: Member[];
  readonly suspects: SuspectRecord[];
  readonly limits: RequestLimitRecord__Output[];
  storeEra: number;
  evacuationsChanged: boolean;
  upstreams: RelayedUpstreams | null;
}

/** Creates a collection without updates. */
export function createUpdates<Document>(): MutableUpdates<Document> {
  return {
    marks: [],
    configurations: [],
    shares: new Map(),
    lengths: new Map(),
    members: [],
    suspects: [],
    limits: [],
    storeEra: 0,
    evacuationsChanged: false,
    upstreams: null,
  };
}
