/** One thing that a caller, upstream, operator or settlement saw. */
export type HistoryRecord =
  | {
    /** A reader received a token. */
    readonly kind: "token_read";
    readonly at: number;
    readonly request: string;
    readonly generation: string;
    readonly index: number;
    readonly text: string;
    /** Text that the engine made for this generation and index. */
    readonly expected: string;
  }
  | {
    /** A reader's answer ended. */
    readonly kind: "answer_ended";
    readonly at: number;
    readonly request: string;
    /** The caller took the answer for whole. */
    readonly whole: boolean;
    /** The end marker arrived. */
    readonly marked: boolean;
    readonly tokens: number;
    /** Tokens that the prompt leads to. */
    readonly expectedTokens: number;
  }
  | {
    /** An attempt of a call that may not be repeated was answered. */
    readonly kind: "call_answered";
    readonly at: number;
    readonly key: string;
    /** Idempotency key and caller that only this attempt sent. */
    readonly attempt: string;
    readonly status: number;
    readonly notRun: boolean | "unknown";
    readonly body: string;
    /** The answer is the service's own, not a refusal. */
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
    /** A process stated the configuration version in force. */
    readonly kind: "configuration_seen";
    readonly at: number;
    readonly process: string;
    readonly version: number;
  }
  | {
    /** Units that arose at an upstream and were read by somebody. */
    readonly kind: "cost_arose";
    readonly at: number;
    readonly workClass: string;
    readonly unit: string;
    readonly amount: number;
  }
  | {
    /** Units that settlement charged. */
    readonly kind: "cost_charged";
    readonly at: number;
    readonly workClass: string;
    readonly unit: string;
    readonly amount: number;
  }
  | {
    /** An upstream began to leave. */
    readonly kind: "upstream_leaving";
    readonly at: number;
    readonly upstream: string;
    /** Time from which no new work may start there. */
    readonly closedFrom: number;
  }
  | {
    /** Work started at an upstream. */
    readonly kind: "work_started";
    readonly at: number;
    readonly upstream: string;
    readonly work: string;
  };

/** Names of the kinds of records. */
export type RecordKind = HistoryRecord["kind"];

/** The record of one kind. */
export type RecordOf<Kind extends RecordKind> = Extract<
  HistoryRecord,
  { kind: Kind }
>;
