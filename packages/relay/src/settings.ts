import type { SocketAddress } from "@lavenderferry/fleet";
import type { ConnectionLimits } from "@lavenderferry/runtime";
import type { ColdTolerance } from "@lavenderferry/policy";

/** Settings of one relay process. */
export interface RelaySettings {
  /** Id of the VM; unique in the fleet. */
  readonly vm: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Listens for requests of callers. */
  readonly callers: SocketAddress;
  /** Listens for readiness probes. */
  readonly readiness: SocketAddress;
  /** Listens for queries for the addresses of relay processes. */
  readonly addresses: SocketAddress;
  /** Listens for gRPC calls of peers. */
  readonly peers: SocketAddress;
  /** Listens for metrics scrapes; `null`: metrics are not served. */
  readonly metrics: SocketAddress | null;
  /** Limit on the duration of a planned stop, in milliseconds. */
  readonly stopMs: number;
  /**
   * Milliseconds within which the process must know of each change of the
   * routing and of the upstreams.
   */
  readonly freshnessMs: number;
  /**
   * Milliseconds within which the upstreams of a data centre under evacuation get
   * no more requests; `null`: evacuations are not followed.
   */
  readonly evacuationBoundMs: number | null;
  /**
   * What cold upstreams bear beyond the rate that they handle; `null`: requests
   * to them are not limited.
   */
  readonly coldTolerance: ColdTolerance | null;
  /** Bytes that all requests and answers in progress may hold in memory. */
  readonly heldBytes: number;
  /** Limits of callers' connections; those left out have their defaults. */
  readonly connections?: Partial<ConnectionLimits>;
  /** Burst of retries per window, across all processes of the fleet. */
  readonly retryBurst: number;
  /** Retries allowed per first attempt. */
  readonly retryShare: number;
}
