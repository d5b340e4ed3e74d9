import type { IncomingMessage, ServerResponse } from "node:http";
import type { ErrorKind, NotRun } from "@lavenderferry/errors";
import { errorKinds, problemMediaType, toProblem } from "@lavenderferry/errors";
import type { EffectHandlers } from "@lavenderferry/runtime";
import type { HeaderCodec } from "../ports.ts";
import type { CallerEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";

/** A caller's request that awaits its answer. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly body: Buffer;
}

/** Bytes that may wait for a slow caller before its stream is cut. */
const maxUnsentBytes = 1_048_576;

/** Requests of callers that are open, and the answers to them. */
export class CallerExchanges {
  readonly #exchanges = new Map<string, CallerExchange>();
  readonly #codec: HeaderCodec;
  /** Whether connections are closed after their answers. */
  closing = false;

  constructor(codec: HeaderCodec) {
    this.#codec = codec;
  }

  /** Returns an open exchange. */
  get(id: string): CallerExchange | undefined {
    return this.#exchanges.get(id);
  }

  /** Adds an exchange. */
  add(id: string, exchange: CallerExchange): void {
    this.#exchanges.set(id, exchange);
  }

  /** Forgets an exchange whose caller has left; returns whether it was open. */
  remove(id: string): boolean {
    return this.#exchanges.delete(id);
  }

  /** Handlers of the effects towards callers. */
  readonly handlers: EffectHandlers<RelayEvent, CallerEffect> = {
    send_answer: ({ exchangeId, answer }) => {
      const response = this.#close(exchangeId);
      if (response === undefined) {
        return;
      }
      const { status, headers, body } = answer;
      const length = ["content-length", String(body.length)];
      this.#writeHead(response, status, [...headers, ...length]);
      response.end(body);
    },
    send_events: ({ exchangeId, head, bytes }, dispatch) => {
      const response = this.#exchanges.get(exchangeId)?.response;
      if (response === undefined) {
        return;
      }
      if (!response.headersSent) {
        this.#writeHead(response, head.status, head.headers);
      }
      response.write(bytes);
      if (response.writableLength > maxUnsentBytes) {
        response.destroy();
        this.#exchanges.delete(exchangeId);
        dispatch({ kind: "request_left", exchangeId });
      }
    },
    finish_events: ({ exchangeId, head }) => {
      const response = this.#close(exchangeId);
      if (response !== undefined && !response.headersSent) {
        this.#writeHead(response, head.status, head.headers);
      }
      response?.end();
    },
    send_failure: ({ exchangeId, error, notRun, retryAfterMs }) => {
      const requestId = this.#exchanges.get(exchangeId)?.requestId;
      const response = this.#close(exchangeId);
      if (response !== undefined) {
        this.sendFailure(response, { error, notRun, retryAfterMs, requestId });
      }
    },
    cut_answer: ({ exchangeId }) => {
      this.#close(exchangeId)?.destroy();
    },
  };

  /** Answers with a failure of the system's own. */
  sendFailure(response: ServerResponse, failure: {
    readonly error: ErrorKind;
    readonly notRun: NotRun;
    readonly retryAfterMs?: number | null;
    readonly requestId?: string | undefined;
  }): void {
    const { error, notRun, retryAfterMs = null, requestId } = failure;
    const { status, title } = errorKinds[error];
    const problem = toProblem({
      kind: error,
      detail: title,
      notRun,
      ...(requestId === undefined ? {} : { requestId }),
      ...(retryAfterMs === null ? {} : { retryAfterMs }),
    });
    const body = Buffer.from(JSON.stringify(problem));
    this.#writeHead(response, status, [
      "content-type",
      problemMediaType,
      "content-length",
      String(body.length),
      ...this.#codec.writeFailure(retryAfterMs),
    ]);
    response.end(body);
  }

  #writeHead(
    response: ServerResponse,
    status: number,
    headers: readonly string[],
  ): void {
    const ending = this.closing ? ["connection", "close"] : [];
    response.writeHead(status, [...headers, ...ending]);
  }

  #close(id: string): ServerResponse | undefined {
    const response = this.#exchanges.get(id)?.response;
    this.#exchanges.delete(id);
    return response;
  }
}
