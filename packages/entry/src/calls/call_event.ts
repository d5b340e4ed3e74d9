import type { NotRun } from "@lavenderferry/errors";
import type { CommitResult } from "@lavenderferry/platform";

/** A call of a plain service. */
export interface CallRequested {
  readonly kind: "call_requested";
  readonly readerId: string;
  readonly requestId: string;
  readonly workspace: string;
  readonly workClass: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string;
  /** Key of a call that may not be repeated; `null` for a read. */
  readonly key: string | null;
  /** Digest of method, path and body. */
  readonly digest: string;
  readonly traceParent: string | undefined;
}

/** A service's answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Events of service calls. */
export type CallEvent =
  | CallRequested
  | {
    readonly kind: "call_answered";
    readonly callId: string;
    readonly upstream: string;
    readonly answer: ServiceAnswer;
    /** The service stated that the call did not run. */
    readonly notRun: boolean;
  }
  | {
    readonly kind: "call_failed";
    readonly callId: string;
    readonly upstream: string;
    /** `true`: no byte of the call was sent. */
    readonly notRun: true | "unknown";
    readonly reason: string;
  }
  | {
    readonly kind: "record_committed";
    readonly callId: string;
    readonly result: CommitResult;
  }
  | {
    readonly kind: "record_failed";
    readonly callId: string;
    readonly notRun: NotRun;
  };
