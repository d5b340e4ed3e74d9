/**
 * One observation of the system under test, made by a caller, an upstream, an
 * operator or the settlement of costs. `at` is the time of the observation in
 * milliseconds of a monotonic clock, or 0 where the observer has no time.
 */
export type HistoryRecord =
  | {
    /** A reader received a token. */
    readonly kind: "token_read";
    readonly at: number;
    readonly request: string;
    readonly generation: string;
    readonly index: number;
    readonly text: string;
    /** Text that the engine produces for this generation and index. */
    readonly expected: string;
  }
  | {
    /** An answer ended, completely or not. */
    readonly kind: "answer_ended";
    readonly at: number;
    readonly request: string;
    /** The caller treated the answer as complete. */
    readonly whole: boolean;
    /** The end marker arrived. */
    readonly marked: boolean;
    readonly tokens: number;
    /** Number of tokens that the prompt asks the engine for. */
    readonly expectedTokens: number;
  }
  | {
    /** An attempt of a non-idempotent call was answered, or failed. */
    readonly kind: "call_answered";
    readonly at: number;
    /** Idempotency key. */
    readonly key: string;
    /** Identifies the attempt: the idempotency key and a suffix. */
    readonly attempt: string;
    readonly status: number;
    /** Whether the answer says that the attempt did not run the call. */
    readonly notRun: boolean | "unknown";
    readonly body: string;
    /** The service answered, not an entry that refused the call. */
    readonly fromService: boolean;
  }
  | {
    /** A service ran a call. */
    readonly kind: "call_run";
    readonly at: number;
    readonly key: string;
    readonly service: string;
  }
  | {
    /** A process reported the version of the configuration in force. */
    readonly kind: "configuration_seen";
    readonly at: number;
    readonly process: string;
    readonly version: number;
  }
  | {
    /** Cost was incurred: units produced by an upstream and delivered. */
    readonly kind: "cost_arose";
    readonly at: number;
    readonly workClass: string;
    readonly unit: string;
    readonly amount: number;
  }
  | {
    /** Units were charged by the settlement. */
    readonly kind: "cost_charged";
    readonly at: number;
    readonly workClass: string;
    readonly unit: string;
    readonly amount: number;
  }
  | {
    /** An upstream entered the state `leaving`. */
    readonly kind: "upstream_leaving";
    readonly at: number;
    readonly upstream: string;
    /** Time after which no work may start there, on the clock of `at`. */
    readonly closedFrom: number;
  }
  | {
    /** Work started at an upstream. */
    readonly kind: "work_started";
    readonly at: number;
    readonly upstream: string;
    readonly work: string;
  };

/** Discriminant of {@link HistoryRecord}. */
export type RecordKind = HistoryRecord["kind"];

/** Member of {@link HistoryRecord} with the given kind. */
export type RecordOf<Kind extends RecordKind> = Extract<
  HistoryRecord,
  { kind: Kind }
>;
