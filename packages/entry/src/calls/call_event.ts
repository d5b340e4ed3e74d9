import type { NotRun } from "@lavenderferry/errors";
import type { CommitResult } from "@lavenderferry/platform";

/** A caller's request to a plain service. */
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
  /** Hash of the idempotency key; `null` for GET, which needs none. */
  readonly key: string | null;
  /** Digest of method, path and body, which detects a reused key. */
  readonly digest: string;
  /** W3C `traceparent` header of the caller. */
  readonly traceParent: string | undefined;
}

/** A service's complete answer, which is relayed to the caller. */
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
    /** Whether the service stated in a header that the call did not run. */
    readonly notRun: boolean;
  }
  | {
    readonly kind: "call_failed";
    readonly callId: string;
    readonly upstream: string;
    /** `true` if no byte of the call was sent. */
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
