import type { ErrorKind, NotRun } from "@lavenderferry/errors";
import type { EngineCheck, ExchangeEffect } from "@lavenderferry/fleet";
import type { SuspectBlock } from "@lavenderferry/policy";
import type { Decision, Moment } from "@lavenderferry/runtime";
import type { Answer, AnswerHead } from "./relay_event.ts";
import type { RelayTimer } from "./process/timers.ts";

/** The upstream to which an attempt is sent. */
export interface Target {
  /** Id of the upstream. */
  readonly id: string;
  /** IP address and port, as `ip:port`. */
  readonly address: string;
  /** Instance id of the upstream, which rejects requests for another one. */
  readonly instance: string;
  /** Whether it is known to limit requests, so that the end is reported. */
  readonly isLimited: boolean;
  /** Whether its service is known to be brittle, so that the end is reported. */
  readonly isBrittle: boolean;
  /** Whether it is a peer to which the request is forwarded. */
  readonly isPeer: boolean;
}

/** Point from which a generation is resumed. */
export interface Resumption {
  /** Address of the upstream that keeps the generation's memory. */
  readonly address: string;
  /** Id under which the memory is kept there. */
  readonly handle: string;
  /** Id of the last event forwarded to the caller. */
  readonly lastEventId: string | null;
}

/** An engine that is asked for its report. */
export interface AskedEngine {
  /** Id of the upstream. */
  readonly id: string;
  readonly address: string;
}

/** Effects that call upstreams. */
export type UpstreamEffect =
  | {
    readonly kind: "send_request";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly target: Target;
    readonly streaming: boolean;
    readonly workspace: string | null;
    /** Monotonic milliseconds after which the caller no longer waits. */
    readonly deadline: number;
    /** Address of the upstream that is to keep a copy of the memory. */
    readonly copyTo: string | null;
    /** How urgent a generation is, 1 being the most urgent; `null`: not stated. */
    readonly urgency: number | null;
    readonly resumption: Resumption | null;
  }
  | { readonly kind: "drop_attempt"; readonly attemptId: string }
  | {
    /** Fetches the report of an engine that should keep a copy. */
    readonly kind: "check_copy";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly address: string;
  }
  | {
    /** Fetches the reports of engines; each is an event of its own. */
    readonly kind: "report_engines";
    readonly engines: readonly AskedEngine[];
    readonly askedAt: Moment;
    /** Monotonic milliseconds after which an answer is not waited for. */
    readonly deadline: number;
  }
  | EngineCheck
  | {
    /** Fetches the report of the engine of a stream that brings no events. */
    readonly kind: "check_run";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly address: string;
  }
  | {
    /** Fetches the list of generations that a generation's engine runs. */
    readonly kind: "list_runs";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly address: string;
  }
  | {
    /** Stops a generation that no caller waits for, and frees its memory. */
    readonly kind: "stop_generation";
    readonly requestId: string;
    /** Address of the engine that may run the generation. */
    readonly from: string;
    /** Address of an engine that may receive its memory for the moment. */
    readonly to: string;
  }
  | {
    /** Copies a running generation's memory to another engine. */
    readonly kind: "copy_generation";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly requestId: string;
    /** Address of the engine that runs the generation. */
    readonly from: string;
    /** Address of the engine that receives the copy. */
    readonly to: string;
    /** Whether the engine stops the generation before it copies. */
    readonly stop: boolean;
  };

/** Effects that answer callers. */
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
  | { readonly kind: "abort_answer"; readonly exchangeId: string };

/** How long a read of what changes may take, in monotonic milliseconds. */
export interface FollowLimits {
  /** Until when the store may wait for a change. */
  readonly heldUntil: number;
  /**
   * When the read is given up, as its connection may be silent; `null`: after the
   * time-out of the store's client.
   */
  readonly deadline: number | null;
}

/** Effects that call the platform's store. */
export type SourceEffect =
  | { readonly kind: "follow_routing" } & FollowLimits
  | { readonly kind: "follow_upstreams" } & FollowLimits
  | { readonly kind: "list_members" }
  | {
    /** Writes this process's own member row. */
    readonly kind: "state_member";
    readonly leaving: boolean;
  }
  | { readonly kind: "read_suspects" }
  | {
    /** Writes the records of all blocks under quarantine. */
    readonly kind: "state_suspects";
    readonly records: readonly SuspectBlock[];
  };

/** Name of a metrics counter that the reducer increments. */
export type CounterName =
  | "requests"
  | "attempts"
  | "refusals"
  | "retries"
  | "resumptions"
  | "reports"
  | "documents"
  | "moves"
  | "copies"
  | "stops";

/** Effects on the process. */
export type ProcessEffect =
  | {
    readonly kind: "set_timer";
    readonly timer: RelayTimer;
    /** Monotonic milliseconds at which the timer fires. */
    readonly at: number;
  }
  | { readonly kind: "log_decision"; readonly decision: Decision }
  | {
    readonly kind: "count";
    readonly counter: CounterName;
    /** Value of the `reason` label. */
    readonly reason: string;
  }
  | {
    /** Records the age of a report by which an engine was chosen. */
    readonly kind: "observe_report";
    readonly ageMs: number;
  }
  | {
    /** Records a time until an answer, or until its first event. */
    readonly kind: "observe";
    readonly route: string;
    readonly milliseconds: number;
  }
  | {
    /** Sets the limits of the server for callers. */
    readonly kind: "apply_limits";
    readonly idleMs: number;
    readonly headersMs: number;
    readonly bodyBytes: number;
  }
  | {
    /** Closes each caller's connection after its next answer. */
    readonly kind: "close_caller_connections";
  }
  | {
    /** Exits once the answers to callers are written. */
    readonly kind: "exit";
    /** Monotonic milliseconds until which the exit waits for them. */
    readonly deadline: number;
  };

/** Any effect that the relay's reducer can return. */
export type RelayEffect =
  | UpstreamEffect
  | CallerEffect
  | SourceEffect
  | ProcessEffect
  | ExchangeEffect;
