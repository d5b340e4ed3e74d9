/** Request of the bench driver to a host, a process of several fleet nodes. */
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

/** An update that reached a node, and when. */
export interface LearnedUpdate {
  readonly kind: "learned";
  readonly index: number;
  readonly topic: "mark" | "configuration" | "member" | "duty";
  /**
   * The marked upstream, the configuration version, the duty, or the member's
   * id, state and epoch, separated by spaces.
   */
  readonly name: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Address and epoch of a node that started. */
export interface StartedNode {
  readonly kind: "started";
  readonly index: number;
  /** Address at which peers reach the node. */
  readonly peers: string;
  readonly epoch: string;
}

/** Resources that a host has used since its start. */
export interface HostUsage {
  readonly kind: "measured";
  /** Processor time in user and system mode. */
  readonly processorSeconds: number;
  readonly residentBytes: number;
  /** Bytes read and written on connections between nodes. */
  readonly controlBytes: number;
}

/** Message of a host to the driver. */
export type HostReply = LearnedUpdate | StartedNode | HostUsage;
