import type { IncomingHttpHeaders } from "node:http";
import type { ChangeFeed, Json, Table, Vm } from "@lavenderferry/platform";
import type { DecisionLog } from "@lavenderferry/runtime";
import type { Resumption } from "./relay_effect.ts";
import type { CopyOutcome, EngineReport } from "./relay_event.ts";
import type { GenerationDemand } from "./requests/relayed_request.ts";
import type { Routing } from "./routing/routing.ts";

/** What the header of a caller's request states. */
export interface RequestFacts {
  /** `null`: the request states none, so it can not be relayed. */
  readonly requestId: string | null;
  readonly key: string | null;
  /** Milliseconds that the caller waits. */
  readonly budgetMs: number | null;
  readonly generation: GenerationDemand | null;
}

/** What the header of a request to an upstream states. */
export interface AttemptFacts {
  readonly instance: string;
  readonly workspace: string | null;
  readonly remainingMs: number;
  readonly copyTo: string | null;
  readonly resumption: Resumption | null;
}

/** What the header of an upstream's answer states. */
export interface AnswerFacts {
  readonly requestId: string | null;
  /** Whether it bears the upstream's signature. */
  readonly signed: boolean;
  readonly notExecuted: boolean;
  /** Whether the body is not the upstream's own bytes. */
  readonly encoded: boolean;
}

/** Reads and writes the headers that callers and upstreams understand. */
export interface HeaderCodec {
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Returns names and values in turn; `raw` is the caller's header. */
  writeAttempt(raw: readonly string[], facts: AttemptFacts): string[];
  readAnswer(headers: IncomingHttpHeaders): AnswerFacts;
  /** Returns names and values in turn, without those of the connection. */
  writeAnswer(raw: readonly string[]): string[];
  /** Returns names and values in turn that a failure adds. */
  writeFailure(retryAfterMs: number | null): string[];
}

/** Asks engines to copy the memory of the generations that they run. */
export interface GenerationCopier {
  /** Returns what an engine says of its work; never rejects. */
  report(address: string): Promise<EngineReport>;
  /** Resolves once the copy is complete or failed; never rejects. */
  copy(copy: {
    /** Address of the engine that runs the generation. */
    readonly from: string;
    /** Address of the engine that takes the copy. */
    readonly to: string;
    readonly requestId: string;
    /** Stops the generation first. */
    readonly stop: boolean;
  }): Promise<CopyOutcome>;
}

/** A caller's question for addresses. */
export interface AddressQuestion {
  readonly dataCentre: string;
}

/** Reads and writes the callers' questions for addresses. */
export interface AddressCodec {
  readonly path: string;
  readQuestion(query: URLSearchParams): AddressQuestion;
  /** Returns the JSON document that answers. */
  writeAnswer(addresses: readonly string[], keepMs: number): object;
}

/** Reads and writes the rows of the platform's table. */
export interface RowCodec {
  /** Prefix of the keys of upstreams. */
  readonly upstreams: string;
  /** Returns `null` for a row that names no upstream to use. */
  readUpstream(key: string, value: Json): Vm | null;
  /** Prefix of the keys of routings, and the key of the one in force. */
  readonly routings: string;
  readonly routing: string;
  /** Returns `null` for a row that is no routing. */
  readRouting(value: Json): Routing | null;
}

/** What a relay needs from the platform that it runs on. */
export interface RelayPorts {
  readonly store: Table & ChangeFeed;
  readonly rows: RowCodec;
  readonly headers: HeaderCodec;
  readonly addresses: AddressCodec;
  readonly copier: GenerationCopier;
  readonly log: DecisionLog;
  readonly readinessPath: string;
}
