/** What the driver asks of a host of fleet nodes. */
export type HostRequest =
  | { readonly kind: "start"; readonly indexes: readonly number[] }
  | { readonly kind: "kill"; readonly index: number }
  | { readonly kind: "mark"; readonly index: number; readonly name: string }
  | {
    readonly kind: "configure";
    readonly index: number;
    readonly version: number;
  }
  | { readonly kind: "measure" };

/** What a node of a host learned, and when. */
export interface Learned {
  readonly kind: "learned";
  readonly index: number;
  readonly topic: "mark" | "configuration" | "member" | "duty";
  /** Name of the mark, version, member with its state, or duty. */
  readonly name: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Address of a node that started. */
export interface Started {
  readonly kind: "started";
  readonly index: number;
  readonly peers: string;
  readonly epoch: string;
}

/** What a host has used since its start. */
export interface Measured {
  readonly kind: "measured";
  /** Seconds of processor time. */
  readonly processor: number;
  readonly residentBytes: number;
  /** Bytes read and written on connections between nodes. */
  readonly controlBytes: number;
}

/** What a host tells the driver. */
export type HostReply = Learned | Started | Measured;
