import type { Write } from "@lavenderferry/platform";

/** Effects that call plain services and commit the records of calls. */
export type CallEffect =
  | {
    readonly kind: "call_service";
    readonly callId: string;
    readonly upstream: string;
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly contentType: string | undefined;
    readonly body: string;
    /** Sent as the idempotency key; `null` if the call has none. */
    readonly key: string | null;
    readonly traceParent: string | undefined;
  }
  | {
    readonly kind: "commit_record";
    readonly callId: string;
    readonly write: Write;
  };
