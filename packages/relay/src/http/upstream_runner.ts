import type { ClientRequest, IncomingMessage } from "node:http";
import { Agent, request as sendRequest } from "node:http";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { GenerationCopier, HeaderCodec } from "../ports.ts";
import type { UpstreamEffect } from "../relay_effect.ts";
import type { AnswerHead, RelayEvent } from "../relay_event.ts";
import { socketOf } from "../util/socket_of.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { CallerExchange, CallerExchanges } from "./caller_exchanges.ts";

/** Milliseconds that a connection may take to be made. */
const connectMs = 800;

/** Milliseconds that a connection is kept idle where the upstream says none. */
const idleMs = 2_000;

/** Idle connections of one process to one upstream. */
const maxIdleConnections = 8;

/** Largest whole answer, in bytes. */
const maxAnswerBytes = 8_388_608;

/** Status of an upstream that another one has the address of. */
const misdirectedStatus = 421;

/** Status of an answer whose events are passed on as they come. */
const streamStatus = 200;

/** Statuses that promise callers that a request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type SendRequest = Extract<UpstreamEffect, { kind: "send_request" }>;

interface Attempt {
  readonly request: ClientRequest;
  dropped: boolean;
}

/**
 * Sends requests to upstreams and reads their answers. It is built on Node's
 * own client, which tells an answer that was cut from one that is whole also
 * where the answer has no length or the connection is not kept.
 */
export class UpstreamRunner {
  readonly #codec: HeaderCodec;
  readonly #exchanges: CallerExchanges;
  readonly #copier: GenerationCopier;
  readonly #attempts = new Map<string, Attempt>();
  /** Keeps connections for requests that may be repeated. */
  readonly #kept = new Agent({
    keepAlive: true,
    maxFreeSockets: maxIdleConnections,
    timeout: idleMs,
  });

  constructor(
    codec: HeaderCodec,
    exchanges: CallerExchanges,
    copier: GenerationCopier,
  ) {
    this.#codec = codec;
    this.#exchanges = exchanges;
    this.#copier = copier;
  }

  /** Handlers of the effects towards upstreams. */
  readonly handlers: EffectHandlers<RelayEvent, UpstreamEffect> = {
    send_request: (effect, dispatch) => this.#send(effect, dispatch),
    drop_attempt: ({ attemptId }) => {
      const attempt = this.#attempts.get(attemptId);
      this.#attempts.delete(attemptId);
      if (attempt !== undefined) {
        attempt.dropped = true;
        attempt.request.destroy();
      }
    },
    check_copy: (effect, dispatch) =>
      this.#report(effect, "copy_checked", dispatch),
    list_runs: (effect, dispatch) =>
      this.#report(effect, "runs_listed", dispatch),
    copy_generation: (effect, dispatch) => {
      const { attemptId, exchangeId } = effect;
      void this.#copier.copy(effect).then((outcome) =>
        dispatch({ kind: "generation_copied", attemptId, exchangeId, outcome })
      );
    },
  };

  #report(
    { attemptId, exchangeId, address }: Extract<
      UpstreamEffect,
      { kind: "check_copy" | "list_runs" }
    >,
    kind: "copy_checked" | "runs_listed",
    dispatch: Dispatch<RelayEvent>,
  ): void {
    void this.#copier.report(address).then((report) =>
      dispatch({ kind, attemptId, exchangeId, report })
    );
  }

  #send(effect: SendRequest, dispatch: Dispatch<RelayEvent>): void {
    const { attemptId, exchangeId, target, streaming } = effect;
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      dispatch({ kind: "request_left", exchangeId });
      return;
    }
    const { method = "GET", url = "/" } = exchange.request;
    const { ip: host, port } = socketOf(target.address);
    const reusable = method === "GET" && !streaming;
    const request = sendRequest({
      host,
      port,
      method,
      path: url,
      // The types name an object only, but Node takes names and values in turn.
      headers: this.#headersOf(effect, exchange) as never,
      agent: reusable ? this.#kept : false,
      setHost: false,
    });
    const attempt: Attempt = { request, dropped: false };
    this.#attempts.set(attemptId, attempt);
    new AnswerReader({
      attemptId,
      exchangeId,
      streaming,
      requestId: exchange.requestId,
      codec: this.#codec,
      attempt,
      dispatch,
      finished: () => this.#attempts.delete(attemptId),
    }).read(request);
    request.end(exchange.body);
  }

  #headersOf(effect: SendRequest, exchange: CallerExchange): string[] {
    const { target, workspace, deadline, copyTo, resumption } = effect;
    const { request, body } = exchange;
    const remainingMs = Math.max(1, Math.floor(deadline - performance.now()));
    const headers = this.#codec.writeAttempt(request.rawHeaders, {
      instance: target.instance,
      workspace,
      remainingMs,
      copyTo,
      resumption,
    });
    if (body.length > 0 || request.method !== "GET") {
      headers.push("Content-Length", String(body.length));
    }
    return headers;
  }
}

interface AnswerReaderOptions {
  readonly attemptId: string;
  readonly exchangeId: string;
  readonly requestId: string;
  readonly streaming: boolean;
  readonly codec: HeaderCodec;
  readonly attempt: Attempt;
  readonly dispatch: Dispatch<RelayEvent>;
  readonly finished: () => void;
}

/** Reads one answer; reports exactly one end of the attempt. */
class AnswerReader {
  readonly #options: AnswerReaderOptions;
  readonly #splitter = new EventSplitter();
  readonly #chunks: Buffer[] = [];
  #length = 0;
  #connected = false;
  #done = false;

  constructor(options: AnswerReaderOptions) {
    this.#options = options;
  }

  /** Follows a request until its answer ends or breaks. */
  read(request: ClientRequest): void {
    const limit = setTimeout(() => {
      request.destroy(new Error("The connection was not made in time"));
    }, connectMs);
    request.on("socket", (socket) => {
      const connected = () => {
        this.#connected = true;
        clearTimeout(limit);
      };
      if (socket.connecting) {
        socket.once("connect", connected);
      } else {
        connected();
      }
    });
    request.on("response", (response) => this.#readAnswer(request, response));
    request.on("error", (error: Error & { readonly code?: string }) => {
      clearTimeout(limit);
      this.#break(error.code ?? "connection_lost");
    });
    request.on("close", () => {
      clearTimeout(limit);
      this.#break("connection_lost");
    });
  }

  #readAnswer(request: ClientRequest, response: IncomingMessage): void {
    const { codec, requestId, streaming } = this.#options;
    const { statusCode: status = 0 } = response;
    const facts = codec.readAnswer(response.headers);
    const foreign = facts.requestId !== null && facts.requestId !== requestId;
    if (foreign) {
      this.#fail(request, "foreign_answer");
    } else if (status === misdirectedStatus || facts.notExecuted) {
      response.resume();
      const misdirected = status === misdirectedStatus;
      const reason = misdirected ? "misdirected" : "not_executed";
      this.#end({ kind: "attempt_refused", reason });
    } else if (facts.requestId === null || !facts.signed || facts.encoded) {
      this.#fail(request, `unsigned_answer_${status}`);
    } else if (promises.has(status)) {
      this.#fail(request, `status_${status}`);
    } else {
      const headers = codec.writeAnswer(response.rawHeaders);
      // Failures of an upstream come whole, also where events were asked for.
      const events = streaming && status === streamStatus;
      this.#readBody(request, response, { head: { status, headers }, events });
    }
  }

  #readBody(
    request: ClientRequest,
    response: IncomingMessage,
    { head, events }: { readonly head: AnswerHead; readonly events: boolean },
  ): void {
    response.on("data", (chunk: Buffer) => {
      if (this.#done) {
        return;
      }
      if (events) {
        this.#pass(head, chunk);
        return;
      }
      this.#length += chunk.length;
      this.#chunks.push(chunk);
      if (this.#length > maxAnswerBytes) {
        this.#fail(request, "answer_too_large");
      }
    });
    const framed = isFramed(response);
    let reset = false;
    if (!framed) {
      // Node reports a reset that comes along with data as a regular end. The
      // peer of a connection that was reset has no address any more.
      response.socket.prependListener("end", () => {
        reset = response.socket.remoteAddress === undefined;
      });
    }
    response.on("error", () => this.#break("connection_lost"));
    response.on("end", () => {
      if (!response.complete || reset) {
        this.#break("connection_lost");
      } else if (!events) {
        const body = Buffer.concat(this.#chunks);
        this.#end({ kind: "answer_received", answer: { ...head, body } });
      } else if (this.#splitter.rest.length > 0) {
        this.#break("partial_event");
      } else {
        this.#end({ kind: "stream_ended", head, framed });
      }
    });
  }

  #pass(head: AnswerHead, chunk: Buffer): void {
    const batch = this.#splitter.push(chunk);
    if (batch !== null) {
      const { attemptId, exchangeId, dispatch } = this.#options;
      dispatch({
        kind: "events_received",
        attemptId,
        exchangeId,
        head,
        ...batch,
      });
    }
  }

  /** Ends an attempt whose connection broke, or was never made. */
  #break(reason: string): void {
    this.#end(
      this.#connected
        ? { kind: "attempt_failed", reason }
        : { kind: "attempt_refused", reason: "unreachable" },
    );
  }

  #fail(request: ClientRequest, reason: string): void {
    this.#end({ kind: "attempt_failed", reason });
    request.destroy();
  }

  #end(end: AttemptEnd): void {
    if (this.#done) {
      return;
    }
    this.#done = true;
    const { attempt, attemptId, exchangeId, dispatch, finished } =
      this.#options;
    finished();
    if (!attempt.dropped) {
      dispatch({ ...end, attemptId, exchangeId } as RelayEvent);
    }
  }
}

/** Whether an answer states where it ends. */
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
