import type { ClientRequest, IncomingMessage } from "node:http";
import { readFinalStatus } from "@lavenderferry/errors";
import type { Dispatch } from "@lavenderferry/runtime";
import {
  ChunkBuffer,
  costOfChunk,
  SocketDeadline,
} from "@lavenderferry/runtime";
import type { ByteAccount, ByteBudget } from "../memory/byte_budget.ts";
import type { AnswerMetadata, HeaderCodec } from "../ports.ts";
import type { Target } from "../relay_effect.ts";
import type { AnswerHead, RelayEvent } from "../relay_event.ts";
import { areWritableHeaders } from "./are_writable_headers.ts";
import { EventSplitter } from "./event_splitter.ts";
import { isHeaderValue } from "./is_header_value.ts";
import { readInTurns } from "./read_in_turns.ts";

/** Milliseconds that establishing a connection may take. */
const connectTimeoutMs = 800;

/** Largest answer that is not an event stream, each chunk's cost included. */
const maxAnswerBytes = 8_388_608;

/** Largest event of a stream, each chunk's cost included. */
const maxEventBytes = 262_144;

/** Bytes for which each event of a stream counts besides its own. */
const eventCostBytes = 512;

/** Largest stream, each event's cost included. */
const maxStreamBytes = 67_108_864;

/** Longest id of an event, in characters. */
const maxEventIdLength = 1_024;

/** Largest body of a refusal after which its connection is used again. */
const maxRefusalBytes = 65_536;

/** Interim answers that may precede the answer. */
const maxInterimAnswers = 8;

/** Status of an upstream that is not the instance the request is meant for. */
const misdirectedStatus = 421;

/** Status with which an upstream may ask for a pause. */
const unavailableStatus = 503;

/** Status of an answer whose events are relayed as they arrive. */
const streamStatus = 200;

/**
 * Statuses that tell callers that a request has not run. An upstream's answer
 * with one of them is never relayed, as the request may have run.
 */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Lowest statuses of failures that the caller and the server have caused. */
const minClientErrorStatus = 400;
const minServerErrorStatus = 500;

/** A request to an upstream that is in progress. */
export interface Attempt {
  readonly request: ClientRequest;
  dropped: boolean;
}

/** The attempt whose answer is read, and what it was sent with. */
export interface AnswerReaderOptions {
  readonly attemptId: string;
  readonly exchangeId: string;
  readonly requestId: string;
  readonly streaming: boolean;
  /** Whether all events may have been received by an earlier attempt. */
  readonly isResumption: boolean;
  readonly target: Target;
  readonly codec: HeaderCodec;
  readonly attempt: Attempt;
  readonly budget: ByteBudget;
  readonly dispatch: Dispatch<RelayEvent>;
  readonly onEnd: () => void;
}

/**
 * Reads the answer to one attempt and dispatches exactly one final event. An
 * exception while it reads fails this attempt only.
 */
export class AnswerReader {
  readonly #options: AnswerReaderOptions;
  /** Events of the current step. */
  readonly #found: RelayEvent[] = [];
  readonly #splitter = new EventSplitter();
  readonly #body = new ChunkBuffer();
  /** Bytes that this answer holds, out of those of the process. */
  #account: ByteAccount | null = null;
  #streamCost = 0;
  #interimAnswers = 0;
  #connected = false;
  #hasEvents = false;
  #ended = false;

  constructor(options: AnswerReaderOptions) {
    this.#options = options;
  }

  /** Observes a request until its answer ends or its connection fails. */
  read(request: ClientRequest): void {
    const connectDeadline = new SocketDeadline(connectTimeoutMs, () => {
      const error = new Error("Connection to the upstream timed out");
      request.destroy(Object.assign(error, { code: "ETIMEDOUT" }));
    });
    request.on("socket", (socket) => {
      const onConnected = () => {
        this.#connected = true;
        connectDeadline.clear();
      };
      if (socket.connecting) {
        socket.once("connect", () => {
          onConnected();
          this.#reportConnected();
        });
      } else {
        onConnected();
      }
    });
    request.on("information", () => {
      this.#interimAnswers += 1;
      if (this.#interimAnswers > maxInterimAnswers) {
        this.#step(request, () => {
          this.#fail(request, "too_many_interim_answers");
        });
      }
    });
    request.on("response", (response) => {
      this.#step(request, () => this.#readAnswer(request, response));
    });
    request.on("error", (error: Error & { readonly code?: string }) => {
      connectDeadline.clear();
      this.#step(request, () => {
        this.#endDisconnected(error.code ?? "connection_lost");
      });
    });
    request.on("close", () => {
      connectDeadline.clear();
      this.#step(request, () => this.#endDisconnected("connection_lost"));
    });
  }

  /**
   * Runs one step of reading; an exception fails the attempt. What the step has
   * found is dispatched after it, as an exception of the reducer is no fault of
   * the answer.
   */
  #step(request: ClientRequest, read: () => void): void {
    try {
      read();
    } catch (error) {
      this.#fail(request, "unreadable_answer", String(error));
    }
    for (const event of this.#found.splice(0)) {
      this.#options.dispatch(event);
    }
  }

  #reportConnected(): void {
    const { target: { id: upstream, isPeer }, dispatch } = this.#options;
    if (!isPeer) {
      dispatch({ kind: "upstream_connected", upstream });
    }
  }

  #readAnswer(request: ClientRequest, response: IncomingMessage): void {
    const { codec, requestId, streaming, target } = this.#options;
    const status = readFinalStatus(response.statusCode);
    if (status === null) {
      const detail = `status ${response.statusCode ?? ""}`;
      this.#fail(request, "invalid_status", detail);
      return;
    }
    const metadata = codec.readAnswer(response.headers);
    // On a kept connection, an answer without an id may be to an earlier request.
    const isForeign = metadata.requestId === null
      ? request.reusedSocket
      : metadata.requestId !== requestId;
    if (target.isPeer && !metadata.signed) {
      this.#readPeerFailure(request, response, {
        status,
        retryAfterMs: metadata.pauseMs,
      });
      return;
    }
    if (!target.isPeer && !isForeign && status !== misdirectedStatus) {
      this.#reportUpstream(metadata);
      this.#reportPause(status, metadata);
      this.#reportBrittle(status, metadata);
    }
    if (isForeign) {
      this.#fail(request, "foreign_answer");
    } else if (status === misdirectedStatus || metadata.notExecuted) {
      discardBody(request, response);
      const misdirected = status === misdirectedStatus;
      const reason = misdirected ? "misdirected" : "not_executed";
      this.#end({ kind: "attempt_refused", reason });
    } else if (
      metadata.requestId === null || !metadata.signed || metadata.encoded
    ) {
      this.#fail(request, `unsigned_answer_${status}`);
    } else if (notRunStatuses.has(status)) {
      this.#fail(request, `status_${status}`);
    } else {
      const headers = codec.writeAnswer(response.rawHeaders);
      const head = { status, headers };
      if (!areWritableHeaders(headers)) {
        this.#fail(request, "invalid_head");
        return;
      }
      // Other statuses carry a plain body, also on routes that stream.
      const isEventStream = streaming && status === streamStatus;
      this.#readBody(request, response, { head, isEventStream });
    }
  }

  /** Reads a failure of the peer itself; most promise that nothing has run. */
  #readPeerFailure(
    request: ClientRequest,
    response: IncomingMessage,
    { status, retryAfterMs }: {
      readonly status: number;
      readonly retryAfterMs: number;
    },
  ): void {
    const isRefusal = notRunStatuses.has(status) ||
      (status >= minClientErrorStatus && status < minServerErrorStatus);
    if (isRefusal) {
      discardBody(request, response);
      const detail = `status_${status}`;
      const reason = "peer_refused";
      this.#end({ kind: "attempt_refused", reason, detail, retryAfterMs });
    } else {
      this.#fail(request, `peer_status_${status}`);
    }
  }

  /**
   * Reports what an answer says of its upstream: that it is leaving, the limit
   * that it names, or that it no longer names one.
   */
  #reportUpstream(
    { isLeaving, requestsPerSecond, signed }: AnswerMetadata,
  ): void {
    const { target: { id: upstream, isLimited } } = this.#options;
    if (isLeaving) {
      this.#found.push({ kind: "leaving_reported", upstream });
    }
    if (requestsPerSecond !== null || (isLimited && signed)) {
      this.#found.push({ kind: "limit_reported", upstream, requestsPerSecond });
    }
  }

  #reportPause(status: number, { pauseMs }: AnswerMetadata): void {
    if (status === unavailableStatus && pauseMs > 0) {
      const { target: { id: upstream } } = this.#options;
      this.#found.push({ kind: "pause_requested", upstream, pauseMs });
    }
  }

  #reportBrittle(
    status: number,
    { rejectionsPerSecond, notExecuted, signed }: AnswerMetadata,
  ): void {
    const { target: { id: upstream, isBrittle } } = this.#options;
    if (rejectionsPerSecond !== null || (isBrittle && signed)) {
      const isRejection = notExecuted && status === unavailableStatus;
      const report = { upstream, rejectionsPerSecond, isRejection };
      this.#found.push({ kind: "brittle_reported", ...report });
    }
  }

  #readBody(
    request: ClientRequest,
    response: IncomingMessage,
    { head, isEventStream }: {
      readonly head: AnswerHead;
      readonly isEventStream: boolean;
    },
  ): void {
    if (Number(response.headers["content-length"]) > maxAnswerBytes) {
      this.#fail(request, "answer_too_large");
      return;
    }
    readInTurns(response, (chunk) => {
      if (!this.#ended) {
        this.#step(request, () => {
          if (isEventStream) {
            this.#readEvents(request, head, chunk);
          } else {
            this.#readChunk(request, chunk);
          }
        });
      }
    });
    const framed = isFramed(response);
    const { isResumption } = this.#options;
    let wasReset = false;
    if (!framed) {
      // Node reports a reset that arrives together with data as a regular end.
      // The socket of a connection that was reset has no remote address.
      response.socket.prependListener("end", () => {
        wasReset = response.socket.remoteAddress === undefined;
      });
    }
    response.on("error", () => {
      this.#step(request, () => this.#endDisconnected("connection_lost"));
    });
    response.on("end", () => {
      this.#step(request, () => {
        if (!response.complete || wasReset) {
          this.#endDisconnected("connection_lost");
        } else if (!isEventStream) {
          const body = this.#body.take();
          this.#end({ kind: "answer_received", answer: { ...head, body } });
        } else if (!framed && !this.#hasEvents && !isResumption) {
          // A lost connection can look like the end of an unframed answer.
          this.#endDisconnected("empty_stream");
        } else if (this.#splitter.partialEvent.length > 0) {
          this.#endDisconnected("partial_event");
        } else {
          this.#end({ kind: "stream_ended", head, framed });
        }
      });
    });
  }

  #readChunk(request: ClientRequest, chunk: Buffer): void {
    this.#body.push(chunk);
    this.#hold(request, this.#body.capacity);
    if (this.#body.cost > maxAnswerBytes) {
      this.#fail(request, "answer_too_large");
    }
  }

  #readEvents(request: ClientRequest, head: AnswerHead, chunk: Buffer): void {
    const batch = this.#splitter.push(chunk);
    if (batch !== null) {
      if (!isEventId(batch.lastEventId ?? "")) {
        this.#fail(request, "invalid_event_id");
        return;
      }
      this.#hasEvents = true;
      const { attemptId, exchangeId } = this.#options;
      const kind = "events_received";
      this.#found.push({ kind, attemptId, exchangeId, head, ...batch });
    }
    this.#hold(request, this.#splitter.capacity);
    this.#streamCost += chunk.length + eventCostBytes * (batch?.count ?? 1);
    if (this.#splitter.cost > maxEventBytes) {
      this.#fail(request, "event_too_large");
    } else if (this.#streamCost > maxStreamBytes) {
      this.#fail(request, "stream_too_large");
    }
  }

  /** States what the answer holds; it fails if the process holds too much. */
  #hold(request: ClientRequest, bytes: number): void {
    this.#account ??= this.#options.budget.open(() => {
      this.#step(request, () => this.#fail(request, "memory_limit"));
    });
    this.#account.set(bytes);
  }

  /** Ends an attempt whose connection failed or was never established. */
  #endDisconnected(reason: string): void {
    this.#end(
      this.#connected
        ? { kind: "attempt_failed", reason, connectionLost: true }
        : { kind: "attempt_refused", reason: "unreachable", detail: reason },
    );
  }

  #fail(request: ClientRequest, reason: string, detail?: string): void {
    this.#end({
      kind: "attempt_failed",
      reason,
      ...(detail === undefined ? {} : { detail }),
    });
    request.destroy();
  }

  #end(end: AttemptEnd): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#account?.close();
    this.#body.clear();
    this.#splitter.clear();
    const { attempt, attemptId, exchangeId, onEnd } = this.#options;
    onEnd();
    if (!attempt.dropped) {
      this.#found.push({ ...end, attemptId, exchangeId } as RelayEvent);
    }
  }
}

/** Whether an id can be stated when the stream is resumed. */
function isEventId(id: string): boolean {
  return id.length <= maxEventIdLength && isHeaderValue(id);
}

/** Reads the body of a refusal to its end, or closes its connection. */
function discardBody(request: ClientRequest, response: IncomingMessage): void {
  let cost = 0;
  readInTurns(response, (chunk) => {
    cost += costOfChunk(chunk);
    if (cost > maxRefusalBytes) {
      request.destroy();
    }
  });
}

/** Whether an answer's end is marked by a length or by chunked encoding. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

type WithoutIds<Event> = Event extends unknown
  ? Omit<Event, "attemptId" | "exchangeId">
  : never;

type AttemptEnd = WithoutIds<
  Extract<
    RelayEvent,
    {
      readonly kind:
        | "attempt_refused"
        | "attempt_failed"
        | "answer_received"
        | "stream_ended";
    }
  >
>;
