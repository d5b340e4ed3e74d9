import type { ErrorKind } from "@lavenderferry/errors";
import type { ExchangeEvent } from "@lavenderferry/fleet";
import type { Vm } from "@lavenderferry/platform";
import type { GenerationDemand } from "./requests/relayed_request.ts";
import type { Routing } from "./routing/routing.ts";
import type { TimerName } from "./process/timers.ts";

/** The start of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, as they came, without those of the hop. */
  readonly headers: readonly string[];
}

/** A whole answer of an upstream. */
export interface Answer extends AnswerHead {
  readonly body: Buffer;
}

/** Why an upstream surely did not run an attempt. */
export const refusalReasons = {
  /** The upstream said so. */
  not_executed: "not_executed",
  /** Another upstream has the address. */
  misdirected: "misdirected",
  /** No connection could be made; nothing was sent. */
  unreachable: "unreachable",
} as const;

/** One of the reasons of a refusal. */
export type RefusalReason = keyof typeof refusalReasons;

/** A request that a caller sent. */
export interface RequestReceived {
  readonly kind: "request_received";
  readonly exchangeId: string;
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  readonly key: string | null;
  /** Milliseconds that the caller waits, from the arrival of the request. */
  readonly budgetMs: number | null;
  readonly generation: GenerationDemand | null;
  /** Monotonic milliseconds at which the request began to arrive. */
  readonly arrivedAt: number;
}

/** What became of a copy of a generation's memory. */
export type CopyOutcome =
  | { readonly kind: "copied"; readonly handle: string }
  /** The engine runs no such generation. */
  | { readonly kind: "not_running" }
  /** Another copy is on its way. */
  | { readonly kind: "busy" }
  /** No room there, or not reached; a stopped one is kept at its engine. */
  | {
    readonly kind: "no_room";
    readonly handle: string | null;
    /** What the engine said, for the log. */
    readonly detail: string;
  }
  /** No answer, or none that says. */
  | { readonly kind: "unknown"; readonly detail: string };

/** A generation that an engine runs. */
export interface RunningGeneration {
  readonly requestId: string;
  /** Tokens of its prompt and its answer so far. */
  readonly tokens: number;
}

/** What an engine says of its work. */
export interface EngineReport {
  /** Tokens of copies kept for others; `null`: the engine did not say. */
  readonly keptTokens: number | null;
  /** Tokens that it has room for beside all that it runs and keeps. */
  readonly freeTokens: number;
  readonly runs: readonly RunningGeneration[];
  /** Why it did not say, for the log. */
  readonly detail: string;
}

/** Events of requests and their attempts. */
export type RequestEvent =
  | RequestReceived
  | { readonly kind: "request_left"; readonly exchangeId: string }
  | {
    readonly kind: "attempt_refused";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly reason: RefusalReason;
  }
  | {
    /** The attempt broke; it may have run. */
    readonly kind: "attempt_failed";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly reason: string;
  }
  | {
    readonly kind: "answer_received";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly answer: Answer;
  }
  | {
    readonly kind: "copy_checked";
    readonly attemptId: string;
    readonly exchangeId: string;
    /** Of the engine that keeps the copy. */
    readonly report: EngineReport;
  }
  | {
    readonly kind: "runs_listed";
    readonly attemptId: string;
    readonly exchangeId: string;
    /** Of the engine that runs the generation. */
    readonly report: EngineReport;
  }
  | {
    readonly kind: "generation_copied";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly outcome: CopyOutcome;
  }
  | {
    /** Whole events of a stream. */
    readonly kind: "events_received";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly head: AnswerHead;
    readonly bytes: Buffer;
    readonly count: number;
    readonly lastEventId: string | null;
  }
  | {
    /** A stream ended as its framing says, or with its connection. */
    readonly kind: "stream_ended";
    /** Whether the answer itself said where it ends. */
    readonly framed: boolean;
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly head: AnswerHead;
  };

/** Why an operation of the store failed. */
interface SourceFailure {
  readonly error: ErrorKind;
  /** Sentence for the log. */
  readonly detail: string;
}

/** Events of the platform. */
export type SourceEvent =
  | { readonly kind: "routing_learned"; readonly routing: Routing }
  | { readonly kind: "routing_failed" } & SourceFailure
  | { readonly kind: "routing_unchanged" }
  | {
    /** A newer row is no routing; the one in force stays. */
    readonly kind: "routing_unreadable";
    /** Version of the row. */
    readonly version: number;
  }
  | {
    readonly kind: "upstreams_learned";
    readonly vms: readonly Vm[];
    /** Keys of rows that name no upstream to use. */
    readonly unreadable: readonly string[];
  }
  | { readonly kind: "upstreams_failed" } & SourceFailure
  | {
    readonly kind: "members_learned";
    readonly vms: readonly Vm[];
    /** Keys of rows that name no member. */
    readonly unreadable: readonly string[];
  }
  | { readonly kind: "members_failed" } & SourceFailure
  | { readonly kind: "member_stated" }
  | { readonly kind: "member_failed" } & SourceFailure;

/** Events of the process. */
export type ProcessEvent =
  | { readonly kind: "started" }
  | { readonly kind: "timer_fired"; readonly timer: TimerName }
  | { readonly kind: "stop_requested" };

/** Everything that the relay's reducer accepts. */
export type RelayEvent =
  | RequestEvent
  | SourceEvent
  | ProcessEvent
  | ExchangeEvent;
