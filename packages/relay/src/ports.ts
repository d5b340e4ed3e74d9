import type { IncomingHttpHeaders } from "node:http";
import type { ChangeFeed, Json, Table, Vm } from "@lavenderferry/platform";
import type { DecisionLog, Steps } from "@lavenderferry/runtime";
import type { Resumption } from "./relay_effect.ts";
import type { CopyOutcome, EngineReport } from "./relay_event.ts";
import type { GenerationDemand } from "./requests/relayed_request.ts";
import type { Routing } from "./routing/routing.ts";

/** Fields that are read from the headers of a caller's request. */
export interface RequestMetadata {
  /** `null`: the header is missing, and the request cannot be relayed. */
  readonly requestId: string | null;
  /** Key that identifies the caller's workspace. */
  readonly key: string | null;
  /** Milliseconds that the caller waits for the answer. */
  readonly budgetMs: number | null;
}

/** Fields that are read from the headers of a request for a generation. */
export interface PromptMetadata extends Omit<GenerationDemand, "prefix"> {
  /** Entries of all blocks of the prompt, in order. */
  readonly blocks: readonly string[];
}

/** Fields that are written to the headers of a request to an upstream. */
export interface AttemptMetadata {
  /** Instance id of the upstream, which rejects requests for another one. */
  readonly instance: string;
  readonly workspace: string | null;
  /** Milliseconds until the deadline of the request. */
  readonly remainingMs: number;
  /** Address of the upstream that is to keep a copy of the memory. */
  readonly copyTo: string | null;
  /** How urgent a generation is, 1 being the most urgent; `null`: not stated. */
  readonly urgency: number | null;
  readonly resumption: Resumption | null;
}

/** Fields that are read from the headers of an upstream's answer. */
export interface AnswerMetadata {
  readonly requestId: string | null;
  /** Whether the answer carries the upstream's signature. */
  readonly signed: boolean;
  /** Whether the upstream states that it did not run the request. */
  readonly notExecuted: boolean;
  /** Whether a content encoding has changed the upstream's own bytes. */
  readonly encoded: boolean;
  /**
   * Milliseconds for which an upstream that refuses wants no requests of this
   * process; 0 if it does not say.
   */
  readonly pauseMs: number;
  /** Whether the upstream states that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * Requests a second that the upstream takes from all processes together;
   * `null`: it names no limit.
   */
  readonly requestsPerSecond: number | null;
  /**
   * Rejections a second for want of room by which the upstream does not yet
   * end; `null`: it does not say that it is brittle.
   */
  readonly rejectionsPerSecond: number | null;
}

/** Converts between HTTP headers and the fields that the relay uses. */
export interface HeaderCodec {
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Returns `null` if the request asks for no generation. */
  readPrompt(headers: IncomingHttpHeaders): PromptMetadata | null;
  /**
   * Returns the raw headers of an attempt, names and values alternating; `raw`
   * are those of the caller's request.
   */
  writeAttempt(raw: readonly string[], metadata: AttemptMetadata): string[];
  /**
   * Returns the raw headers of a request that is forwarded to a peer: those of the
   * caller with the milliseconds that are left.
   */
  writeForwarded(raw: readonly string[], remainingMs: number): string[];
  readAnswer(headers: IncomingHttpHeaders): AnswerMetadata;
  /** Returns an answer's raw headers without connection-specific ones. */
  writeAnswer(raw: readonly string[]): string[];
  /** Returns the raw headers that are added to a failure. */
  writeFailure(retryAfterMs: number | null): string[];
}

/** Client for reports of engines and for copies of their generations. */
export interface GenerationCopier {
  /**
   * Fetches the report of an engine within a time limit, which has a default;
   * never rejects.
   */
  report(address: string, timeoutMs?: number): Promise<EngineReport>;
  /** Frees the memory that an engine keeps by a handle; never rejects. */
  release(address: string, handle: string): Promise<void>;
  /** Resolves once the copy has completed or failed; never rejects. */
  copy(copy: {
    /** Address of the engine that runs the generation. */
    readonly from: string;
    /** Address of the engine that receives the copy. */
    readonly to: string;
    readonly requestId: string;
    /** Whether the engine stops the generation before it copies. */
    readonly stop: boolean;
  }): Promise<CopyOutcome>;
}

/** Query for the addresses of relay processes. */
export interface AddressQuery {
  /** Data centre of the caller; empty if the query does not state it. */
  readonly dataCentre: string;
}

/** Parses queries for addresses and formats their answers. */
export interface AddressCodec {
  /** URL path of the queries. */
  readonly path: string;
  readQuery(query: URLSearchParams): AddressQuery;
  /** Returns the JSON answer; it may be cached for `lifetimeMs`. */
  writeAnswer(addresses: readonly string[], lifetimeMs: number): object;
}

/** Keys of rows in the platform's table, and parsers of their values. */
export interface RowCodec {
  /** Key prefix of the rows of upstreams. */
  readonly upstreamPrefix: string;
  /** Returns `null` if the row is not a usable upstream. */
  readUpstream(key: string, value: Json): Vm | null;
  /** Key prefix of the rows of routings. */
  readonly routingPrefix: string;
  /** Key prefix of the rows that order evacuations, each of a data centre. */
  readonly evacuationPrefix: string;
  /** Key of the row of the routing in force. */
  readonly routingKey: string;
  /** Returns `null` if the row is not a valid routing. */
  readRouting(value: Json): Steps<Routing | null>;
}

/** Adapters that connect a relay to the platform on which it runs. */
export interface RelayPorts {
  readonly store: Table & ChangeFeed;
  readonly rows: RowCodec;
  readonly headers: HeaderCodec;
  readonly addresses: AddressCodec;
  readonly copier: GenerationCopier;
  readonly log: DecisionLog;
  /** URL path of the readiness probe. */
  readonly readinessPath: string;
}
