import type { CallRequested } from "./call_event.ts";

/**
 * Phases of a call with an idempotency key: its record is claimed, the call is
 * dispatched, then its outcome is recorded or the key is released. A call
 * without a key has no record and is dispatched at once.
 */
export const callPhases = {
  claiming: "claiming",
  dispatched: "dispatched",
  /** Refused as not run while the commit of its claim was outstanding. */
  withdrawn: "withdrawn",
  recording: "recording",
  releasing: "releasing",
} as const;

/** A value of {@link callPhases}. */
export type CallPhase = (typeof callPhases)[keyof typeof callPhases];

/** A service call in progress at this entry. */
export interface Call {
  readonly request: CallRequested;
  readonly callId: string;
  /** Id under which equal calls may be quarantined. */
  readonly suspectId: string;
  /** Monotonic milliseconds of the last send; 0 before it. */
  sentAt: number;
  phase: CallPhase;
  /** Last known version of the record's row; `null` if there is no row. */
  rowVersion: number | null;
  /** Record that the commit in progress writes; `null` if there is none. */
  pendingRecord: CallRecord | null;
  /**
   * Whether an attempt without a known outcome was sent. Only a call without a
   * key is attempted again after that.
   */
  mayHaveRun: boolean;
  /** Ids of the service VMs that the call was sent to. */
  triedUpstreams: string[];
  /** Monotonic milliseconds after which a failed claim is not retried. */
  claimDeadline: number;
  /** Consecutive commits that failed without an answer of the table. */
  failedCommits: number;
}

/** Row value that records the state of a call with an idempotency key. */
export interface CallRecord {
  readonly state: "dispatched" | "answered" | "released" | "unknown";
  /** Digest of method, path and body, which detects a reused key. */
  readonly digest: string;
  /** Id of the call that wrote the record. */
  readonly nonce: string;
  readonly requestId: string;
  /**
   * Milliseconds since the Unix epoch until which a dispatched call counts as
   * in progress.
   */
  readonly resolveBy: number;
  /** Milliseconds since the Unix epoch after which the row may be removed. */
  readonly expiresAt: number;
  readonly status: number | null;
  readonly contentType: string | null;
  readonly body: string | null;
}
