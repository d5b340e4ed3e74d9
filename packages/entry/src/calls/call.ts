import type { CallRequested } from "./call_event.ts";

/** Where a call that may not be repeated stands. */
export const callPhases = {
  claiming: "claiming",
  dispatched: "dispatched",
  recording: "recording",
  releasing: "releasing",
} as const;

/** One of the phases of a call. */
export type CallPhase = (typeof callPhases)[keyof typeof callPhases];

/** One service call that this entry carries. */
export interface Call {
  readonly request: CallRequested;
  readonly callId: string;
  phase: CallPhase;
  /** Version of the call's row; `null` when it does not exist. */
  rowVersion: number | null;
  /** Row value that the running commit writes. */
  pending: CallRecord | null;
  /** A try was sent and its answer is not known; only reads go on then. */
  mayHaveRun: boolean;
  /** Upstreams tried so far. */
  tried: string[];
  /** Monotonic milliseconds until which the claim is tried. */
  claimDeadline: number;
  /** Failed operations on the row since the last that was answered. */
  recordTries: number;
}

/** Row of a call that may not be repeated. */
export interface CallRecord {
  readonly state: "dispatched" | "answered" | "released" | "unknown";
  readonly digest: string;
  readonly nonce: string;
  readonly requestId: string;
  /** Wall milliseconds after which a dispatched call counts as unresolved. */
  readonly resolveBy: number;
  /** Wall milliseconds after which the row may be removed. */
  readonly expiresAt: number;
  readonly status: number | null;
  readonly contentType: string | null;
  readonly body: string | null;
}
