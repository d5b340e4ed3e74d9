import type { Change } from "@lavenderferry/configuration";
import type { Failure } from "@lavenderferry/errors";
import type { Period } from "@lavenderferry/ledger";

/** VM id and address of a process that accepts calls from its peers. */
export interface PeerAddress {
  readonly id: string;
  /** Host and port for calls from peers. */
  readonly address: string;
}

/** Effects of operations, and replies to operators. */
export type OperatorEffect =
  | {
    readonly kind: "accept_change";
    readonly replyId: string;
    readonly change: Change;
  }
  | {
    readonly kind: "read_history";
    readonly replyId: string;
    readonly after: number;
  }
  | {
    readonly kind: "read_diff";
    readonly replyId: string;
    readonly from: number | undefined;
    readonly to: number | undefined;
  }
  | {
    readonly kind: "read_costs";
    readonly replyId: string;
    readonly period: Period;
  }
  | {
    readonly kind: "drain_peer";
    readonly replyId: string;
    readonly peer: PeerAddress;
  }
  | {
    readonly kind: "query_peers";
    readonly replyId: string;
    readonly subject: string;
    readonly peers: readonly PeerAddress[];
  }
  | {
    readonly kind: "answer_operator";
    readonly replyId: string;
    readonly body: object;
    /** Version for the ETag header. */
    readonly version?: number;
  }
  | {
    readonly kind: "refuse_operator";
    readonly replyId: string;
    readonly failure: Failure;
    /** Members added to the problem details. */
    readonly details?: object | undefined;
  };
