import type { Write } from "@lavenderferry/platform";

/** Effects towards plain services and the calls' records. */
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
    readonly key: string | null;
    readonly traceParent: string | undefined;
  }
  | {
    readonly kind: "commit_record";
    readonly callId: string;
    readonly write: Write;
  };
