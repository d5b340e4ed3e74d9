import type { ErrorKind } from "@lavenderferry/errors";
import type {
  EngineChecked,
  EvacuationList,
  ExchangeEvent,
} from "@lavenderferry/fleet";
import type { EngineLoad, SuspectBlock } from "@lavenderferry/policy";
import type { StoreVersion, Vm } from "@lavenderferry/platform";
import type { Moment } from "@lavenderferry/runtime";
import type { GenerationDemand } from "./requests/relayed_request.ts";
import type { Routing } from "./routing/routing.ts";
import type { RelayTimer } from "./process/timers.ts";

/** Status and headers of an upstream's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Raw names and values alternating, without connection-specific ones. */
  readonly headers: readonly string[];
}

/** An upstream's complete answer, other than a stream. */
export interface Answer extends AnswerHead {
  readonly body: Buffer;
}

/** Reasons for which an upstream is certain not to have run an attempt. */
export const refusalReasons = {
  /** The upstream reported it. */
  not_executed: "not_executed",
  /** The address belongs to another upstream. */
  misdirected: "misdirected",
  /** The connection failed before anything was sent. */
  unreachable: "unreachable",
  /** The request contains what cannot be sent to any upstream. */
  unsendable: "unsendable",
  /** A peer to which the request was forwarded refused it. */
  peer_refused: "peer_refused",
} as const;

/** Reason of a refusal; a key of `refusalReasons`. */
export type RefusalReason = keyof typeof refusalReasons;

/** A caller's request was received in full. */
export interface RequestReceived {
  readonly kind: "request_received";
  /** Id of the HTTP exchange; unique within this process. */
  readonly exchangeId: string;
  /** Id chosen by the caller; may not be unique. */
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  /** Key that identifies the caller's workspace. */
  readonly key: string | null;
  /** Milliseconds that the caller waits, counted from `arrivedAt`. */
  readonly budgetMs: number | null;
  /** `null`: the request asks for no generation. */
  readonly generation: GenerationDemand | null;
  /** Whether a peer that reaches no upstream has forwarded it. */
  readonly isForwarded: boolean;
  /**
   * Digest of all that two equal requests of one caller share; `null`: the
   * request is refused whatever it holds, and was not looked into.
   */
  readonly contentDigest: string | null;
  /** Monotonic milliseconds at which the request began to arrive. */
  readonly arrivedAt: number;
}

/** The process holds too much for a request whose caller waits for the answer. */
export interface MemoryExceeded {
  readonly kind: "memory_exceeded";
  readonly exchangeId: string;
}

/** Result of copying a generation's memory to another engine. */
export type CopyOutcome =
  /** The handle identifies the memory at the engine of the generation. */
  | { readonly kind: "copied"; readonly handle: string }
  /** The engine does not run the generation. */
  | { readonly kind: "not_running" }
  /** Another copy of the generation is in progress. */
  | { readonly kind: "busy" }
  /** The target has no room or was unreachable. */
  | {
    readonly kind: "no_room";
    /** Memory of a stopped generation, kept at its engine; `null`: none. */
    readonly handle: string | null;
    /** Events that a stopped generation has had; absent: not stated. */
    readonly events?: number;
    /** Message of the engine, for the log. */
    readonly detail: string;
  }
  /** No connection to the engine was established, so that it was not asked. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The engine did not answer, or its answer was not understood. */
  | { readonly kind: "unknown"; readonly detail: string };

/** A generation in the report of the engine that runs it. */
export interface RunningGeneration {
  readonly requestId: string;
  /** Tokens of the prompt and of the answer so far. */
  readonly tokens: number;
  /** Events of the answer so far. */
  readonly events: number;
}

/** Report of an engine about its memory and its generations. */
export interface EngineReport {
  /** Tokens of copies kept for other engines; `null`: not reported. */
  readonly keptTokens: number | null;
  /** Tokens of memory not used by its own generations or by copies. */
  readonly freeTokens: number;
  readonly runs: readonly RunningGeneration[];
  /** Requests and memory; missing or `null` if the report does not state them. */
  readonly load?: EngineLoad | null;
  /** Handles by which the engine keeps memory, as far as it lists them. */
  readonly handles?: readonly string[];
  /** Milliseconds until the engine ends; missing or `null`: not stated. */
  readonly leavesMs?: number | null;
  /** Whether the engine states that it is leaving. */
  readonly isLeaving?: boolean;
  /** Why the engine did not report, for the log; empty if it did. */
  readonly detail: string;
}

/** An engine has answered a request for its report, or has not in time. */
export interface EngineReported {
  readonly kind: "engine_reported";
  /** Id of the engine. */
  readonly upstream: string;
  /** Moment at which the report was requested. */
  readonly askedAt: Moment;
  readonly report: EngineReport;
}

/** An upstream accepted a new connection. */
export interface UpstreamConnected {
  readonly kind: "upstream_connected";
  /** Id of the upstream. */
  readonly upstream: string;
}

/** An answer says that its upstream is leaving. */
export interface LeavingReported {
  readonly kind: "leaving_reported";
  /** Id of the upstream. */
  readonly upstream: string;
}

/** An upstream that refused a request wants no others for a while. */
export interface PauseRequested {
  readonly kind: "pause_requested";
  /** Id of the upstream. */
  readonly upstream: string;
  readonly pauseMs: number;
}

/**
 * An answer says that its upstream ends if it rejects too many requests, or no
 * longer says so.
 */
export interface BrittleReported {
  readonly kind: "brittle_reported";
  /** Id of the upstream. */
  readonly upstream: string;
  /**
   * Rejections a second for want of room by which it does not yet end; `null`: it
   * does not say that it is brittle.
   */
  readonly rejectionsPerSecond: number | null;
  /** Whether the answer itself is a rejection. */
  readonly isRejection: boolean;
}

/** What an answer says of the requests that its upstream takes. */
export interface LimitReported {
  readonly kind: "limit_reported";
  /** Id of the upstream. */
  readonly upstream: string;
  /** Requests a second from all processes together; `null`: no limit. */
  readonly requestsPerSecond: number | null;
}

/** An effect on one exchange with a caller threw an exception. */
export interface RelayingFailed {
  readonly kind: "relaying_failed";
  readonly exchangeId: string;
  /** Kind of the effect. */
  readonly effect: string;
  /** Message of the exception, for the log. */
  readonly detail: string;
}

/** Events of requests, their attempts and their copies. */
export type RequestEvent =
  | RequestReceived
  | RelayingFailed
  | MemoryExceeded
  | { readonly kind: "caller_disconnected"; readonly exchangeId: string }
  | {
    readonly kind: "attempt_refused";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly reason: RefusalReason;
    /** How the connection failed, for the log. */
    readonly detail?: string;
    /** Milliseconds after which a peer that refused may take requests. */
    readonly retryAfterMs?: number;
  }
  | {
    /** The attempt failed and may have run. */
    readonly kind: "attempt_failed";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly reason: string;
    /** What was invalid, for the log. */
    readonly detail?: string;
    /** Whether the connection was lost, other than after an invalid answer. */
    readonly connectionLost?: boolean;
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
    /** Report of the engine that keeps the copy. */
    readonly report: EngineReport;
  }
  | {
    readonly kind: "run_checked";
    readonly attemptId: string;
    readonly exchangeId: string;
    /** Report of the engine that may run the generation. */
    readonly report: EngineReport;
  }
  | {
    readonly kind: "runs_listed";
    readonly attemptId: string;
    readonly exchangeId: string;
    /** Report of the engine that runs the generation. */
    readonly report: EngineReport;
  }
  | {
    readonly kind: "generation_copied";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly outcome: CopyOutcome;
  }
  | {
    /** Outcome of a call that asks an engine to stop a run that nobody reads. */
    readonly kind: "generation_stopped";
    readonly requestId: string;
    /** Address of the engine. */
    readonly from: string;
    readonly outcome: CopyOutcome;
  }
  | {
    /** A batch of complete events of a stream. */
    readonly kind: "events_received";
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly head: AnswerHead;
    readonly bytes: Buffer;
    /** Number of events in `bytes`. */
    readonly count: number;
    readonly lastEventId: string | null;
  }
  | {
    /** A stream ended by its HTTP framing, or with its connection. */
    readonly kind: "stream_ended";
    /** Whether the answer has a length or uses chunked encoding. */
    readonly framed: boolean;
    readonly attemptId: string;
    readonly exchangeId: string;
    readonly head: AnswerHead;
  };

/** Error of a failed operation of the store. */
interface SourceFailure {
  readonly error: ErrorKind;
  /** Error message for the log. */
  readonly detail: string;
  /** Whether the store gave no answer, so that its connection may be silent. */
  readonly isUnanswered?: boolean;
}

/** Events of the platform's store. */
export type SourceEvent =
  | {
    /** An answer of the store named an era for the first time. */
    readonly kind: "store_era_learned";
    readonly era: number;
  }
  | {
    readonly kind: "routing_learned";
    readonly routing: Routing;
    readonly confirmedAt: number;
    readonly evacuations?: EvacuationList;
  }
  | { readonly kind: "routing_failed" } & SourceFailure
  | {
    readonly kind: "routing_unchanged";
    /** Monotonic milliseconds at which the routing was the newest one. */
    readonly confirmedAt: number;
    /** The data centres under evacuation, as read with the routing. */
    readonly evacuations?: EvacuationList;
  }
  | {
    /** A newer row is not a valid routing; the current one stays in force. */
    readonly kind: "routing_unreadable";
    readonly confirmedAt: number;
    readonly evacuations?: EvacuationList;
    /** Version of the row. */
    readonly version: number;
  }
  | {
    readonly kind: "upstreams_learned";
    readonly vms: readonly Vm[];
    /** Version of the list; each change of the store raises it. */
    readonly version: StoreVersion;
    /** Keys of rows that are not usable upstreams. */
    readonly unreadable: readonly string[];
    /** Monotonic milliseconds at which the store was asked. */
    readonly askedAt: number;
  }
  | { readonly kind: "upstreams_failed" } & SourceFailure
  | {
    readonly kind: "members_learned";
    readonly vms: readonly Vm[];
    /** Keys of rows that are not members. */
    readonly unreadable: readonly string[];
  }
  | { readonly kind: "members_failed" } & SourceFailure
  | {
    /** Records of blocks under quarantine were read. */
    readonly kind: "suspects_learned";
    readonly records: readonly SuspectBlock[];
  }
  | { readonly kind: "suspects_failed" } & SourceFailure
  | { readonly kind: "suspects_written" }
  | {
    /** Records of blocks under quarantine were written by another process. */
    readonly kind: "suspects_conflicted";
    readonly records: readonly SuspectBlock[];
  }
  | { readonly kind: "suspects_unwritten" } & SourceFailure
  | { readonly kind: "member_written" }
  | { readonly kind: "member_failed" } & SourceFailure;

/** Events of the process: its start, timers and planned stop. */
export type ProcessEvent =
  | { readonly kind: "started" }
  | { readonly kind: "timer_fired"; readonly timer: RelayTimer }
  | { readonly kind: "stop_requested" };

/** Any event that the relay's reducer handles. */
export type RelayEvent =
  | RequestEvent
  | EngineChecked
  | EngineReported
  | LeavingReported
  | UpstreamConnected
  | LimitReported
  | PauseRequested
  | BrittleReported
  | SourceEvent
  | ProcessEvent
  | ExchangeEvent;
