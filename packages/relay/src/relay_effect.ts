import type { ErrorKind, NotRun } from "@lavenderferry/errors";
import type { ExchangeEffect } from "@lavenderferry/fleet";
import type { Decision } from "@lavenderferry/runtime";
import type { Answer, AnswerHead } from "./relay_event.ts";
import type { TimerName } from "./process/timers.ts";

/** The upstream that an attempt goes to. */
export interface Target {
  /** IP number and port. */
  readonly address: string;
  /** Id that the upstream checks. */
  readonly instance: string;
}

/** Where the memory of a generation that goes on is. */
export interface Resumption {
  /** Address of the upstream that keeps it. */
  readonly address: string;
  /** Name under which it is kept. */
  readonly handle: string;
  /** Last event that the caller has. */
  readonly lastEventId: string | null;
}

/** Effects towards upstreams. */
export type UpstreamEffect =
  | {
    readonly kind: "send_request";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly target: Target;
    readonly streaming: boolean;
    readonly workspace: string | null;
    /** Monotonic milliseconds after which the answer is of no use. */
    readonly deadline: number;
    /** Address of the upstream that is to keep a copy of the memory. */
    readonly copyTo: string | null;
    readonly resumption: Resumption | null;
  }
  | { readonly kind: "drop_attempt"; readonly attemptId: string }
  | {
    /** Asks an engine how much memory it keeps for others' generations. */
    readonly kind: "check_copy";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly address: string;
  }
  | {
    /** Asks the engine of a generation what else it runs. */
    readonly kind: "list_runs";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly address: string;
  }
  | {
    /** Copies a running generation's memory to another engine. */
    readonly kind: "copy_generation";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly requestId: string;
    readonly from: string;
    readonly to: string;
    /** Stops the generation first. */
    readonly stop: boolean;
  };

/** Effects towards callers. */
export type CallerEffect =
  | {
    readonly kind: "send_answer";
    readonly exchangeId: string;
    readonly answer: Answer;
  }
  | {
    readonly kind: "send_events";
    readonly exchangeId: string;
    readonly head: AnswerHead;
    readonly bytes: Buffer;
  }
  | {
    readonly kind: "finish_events";
    readonly exchangeId: string;
    readonly head: AnswerHead;
  }
  | {
    readonly kind: "send_failure";
    readonly exchangeId: string;
    readonly error: ErrorKind;
    readonly notRun: NotRun;
    readonly retryAfterMs: number | null;
  }
  | { readonly kind: "cut_answer"; readonly exchangeId: string };

/** Effects towards the platform. */
export type SourceEffect =
  | { readonly kind: "follow_routing" }
  | { readonly kind: "follow_upstreams" }
  | { readonly kind: "list_members" }
  | { readonly kind: "state_member"; readonly leaving: boolean };

/** Counters that the reducer raises. */
export type CounterName =
  | "requests"
  | "attempts"
  | "refusals"
  | "retries"
  | "resumptions";

/** Effects on the process. */
export type ProcessEffect =
  | {
    readonly kind: "set_timer";
    readonly timer: TimerName;
    /** Monotonic milliseconds. */
    readonly at: number;
  }
  | { readonly kind: "log_decision"; readonly decision: Decision }
  | {
    readonly kind: "count";
    readonly counter: CounterName;
    readonly reason: string;
  }
  | {
    readonly kind: "observe";
    readonly route: string;
    readonly milliseconds: number;
  }
  | {
    readonly kind: "apply_limits";
    readonly idleMs: number;
    readonly headersMs: number;
    readonly bodyBytes: number;
  }
  | { readonly kind: "close_callers" }
  | { readonly kind: "exit" };

/** Everything that the relay's reducer can ask for. */
export type RelayEffect =
  | UpstreamEffect
  | CallerEffect
  | SourceEffect
  | ProcessEffect
  | ExchangeEffect;
