import type { IncomingHttpHeaders } from "node:http";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { Dispatcher } from "undici";
import { Pool } from "undici";
import type { GenerationCopier, HeaderCodec } from "../ports.ts";
import type { UpstreamEffect } from "../relay_effect.ts";
import type { AnswerHead, RelayEvent } from "../relay_event.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { CallerExchange, CallerExchanges } from "./caller_exchanges.ts";

/** Milliseconds that a connection may take to be made. */
const connectMs = 800;

/** Milliseconds that a connection is kept idle where the upstream says none. */
const idleMs = 2_000;

/** Milliseconds before an upstream's stated limit at which one is given up. */
const idleMarginMs = 1_000;

/** Connections of one process to one upstream. */
const maxConnections = 64;

/** Largest whole answer, in bytes. */
const maxAnswerBytes = 8_388_608;

/** Lowest status of a final answer. */
const firstFinalStatus = 200;

/** Statuses that promise callers that a request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type SendRequest = Extract<UpstreamEffect, { kind: "send_request" }>;

interface Pools {
  /** Connections that are kept after an answer. */
  readonly kept: Pool;
  /** Connections for one request each. */
  readonly fresh: Pool;
}

interface Attempt {
  controller: Dispatcher.DispatchController | null;
  dropped: boolean;
}

/** Sends requests to upstreams and reads their answers. */
export class UpstreamRunner {
  readonly #codec: HeaderCodec;
  readonly #exchanges: CallerExchanges;
  readonly #copier: GenerationCopier;
  readonly #pools = new Map<string, Pools>();
  readonly #attempts = new Map<string, Attempt>();

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
        attempt.controller?.abort(new Error("The attempt was dropped"));
      }
    },
    copy_generation: (effect, dispatch) => {
      const { attemptId, exchangeId } = effect;
      void this.#copier.copy(effect).then((outcome) =>
        dispatch({ kind: "generation_copied", attemptId, exchangeId, outcome })
      );
    },
    keep_connections: ({ addresses }) => {
      const kept = new Set(addresses);
      for (const [address, { kept: idle, fresh }] of this.#pools) {
        if (!kept.has(address)) {
          this.#pools.delete(address);
          // Closing waits for what still runs on the connections.
          void Promise.allSettled([idle.close(), fresh.close()]);
        }
      }
    },
  };

  #send(effect: SendRequest, dispatch: Dispatch<RelayEvent>): void {
    const { attemptId, exchangeId, target, streaming } = effect;
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      dispatch({ kind: "request_left", exchangeId });
      return;
    }
    const attempt: Attempt = { controller: null, dropped: false };
    this.#attempts.set(attemptId, attempt);
    const { method = "GET" } = exchange.request;
    const reader = new AnswerReader({
      attemptId,
      exchangeId,
      streaming,
      requestId: exchange.requestId,
      codec: this.#codec,
      attempt,
      dispatch,
      finished: () => this.#attempts.delete(attemptId),
    });
    const pools = this.#poolsOf(target.address);
    const reusable = method === "GET" && !streaming;
    (reusable ? pools.kept : pools.fresh).dispatch({
      method: method as Dispatcher.HttpMethod,
      path: exchange.request.url ?? "/",
      headers: this.#headersOf(effect, exchange),
      body: exchange.body.length === 0 ? null : exchange.body,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, reader);
  }

  #headersOf(effect: SendRequest, { request }: CallerExchange): string[] {
    const { target, workspace, deadline, copyTo, resumption } = effect;
    const remainingMs = Math.max(1, Math.floor(deadline - performance.now()));
    return this.#codec.writeAttempt(request.rawHeaders, {
      instance: target.instance,
      workspace,
      remainingMs,
      copyTo,
      resumption,
    });
  }

  #poolsOf(address: string): Pools {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const origin = `http://${address}`;
    const options = {
      connections: maxConnections,
      connect: { timeout: connectMs, noDelay: true },
      keepAliveTimeout: idleMs,
      keepAliveTimeoutThreshold: idleMarginMs,
    };
    const pools = {
      kept: new Pool(origin, options),
      fresh: new Pool(origin, { ...options, pipelining: 0 }),
    };
    this.#pools.set(address, pools);
    return pools;
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
class AnswerReader implements Dispatcher.DispatchHandler {
  readonly #options: AnswerReaderOptions;
  readonly #splitter = new EventSplitter();
  readonly #chunks: Buffer[] = [];
  #length = 0;
  #head: AnswerHead | null = null;
  #sent = false;
  #done = false;

  constructor(options: AnswerReaderOptions) {
    this.#options = options;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    const { attempt } = this.#options;
    if (attempt.dropped) {
      controller.abort(new Error("The attempt was dropped"));
      return;
    }
    attempt.controller = controller;
    this.#sent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < firstFinalStatus || this.#done) {
      return;
    }
    const { codec, requestId } = this.#options;
    const facts = codec.readAnswer(headers);
    if (facts.requestId !== null && facts.requestId !== requestId) {
      this.#fail(controller, "foreign_answer");
    } else if (status === 421 || facts.notExecuted) {
      // An upstream that refuses closes or keeps its connection as it likes.
      this.#end({
        kind: "attempt_refused",
        reason: status === 421 ? "misdirected" : "not_executed",
      });
    } else if (facts.requestId === null || !facts.sealed || facts.encoded) {
      this.#fail(controller, `unsigned_answer_${status}`);
    } else if (promises.has(status)) {
      this.#fail(controller, `status_${status}`);
    } else {
      this.#head = { status, headers: codec.writeAnswer(headers) };
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#done || this.#head === null) {
      return;
    }
    if (this.#streams(this.#head)) {
      this.#pass(this.#head, chunk);
      return;
    }
    this.#length += chunk.length;
    if (this.#length > maxAnswerBytes) {
      this.#fail(controller, "answer_too_large");
      return;
    }
    // The connection's buffer is used again for what follows.
    this.#chunks.push(Buffer.from(chunk));
  }

  onResponseEnd(): void {
    const head = this.#head;
    if (this.#done || head === null) {
      return;
    }
    if (!this.#streams(head)) {
      const body = Buffer.concat(this.#chunks);
      this.#end({ kind: "answer_received", answer: { ...head, body } });
      return;
    }
    const { rest } = this.#splitter;
    if (rest.length > 0) {
      this.#end({ kind: "attempt_failed", reason: "partial_event" });
      return;
    }
    this.#end({ kind: "stream_ended", head });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error & { readonly code?: string },
  ): void {
    if (!this.#sent) {
      this.#end({ kind: "attempt_refused", reason: "unreachable" });
      return;
    }
    const reason = error.code ?? "connection_lost";
    this.#end({ kind: "attempt_failed", reason });
  }

  /** Failures of an upstream come whole, also where events were asked for. */
  #streams({ status }: AnswerHead): boolean {
    return this.#options.streaming && status === firstFinalStatus;
  }

  #pass(head: AnswerHead, chunk: Buffer): void {
    const batch = this.#splitter.push(Buffer.from(chunk));
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

  #fail(controller: Dispatcher.DispatchController, reason: string): void {
    this.#end({ kind: "attempt_failed", reason });
    controller.abort(new Error(reason));
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
