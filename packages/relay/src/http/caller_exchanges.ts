import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ErrorKind, NotRun } from "@lavenderferry/errors";
import { errorKinds, problemMediaType, toProblem } from "@lavenderferry/errors";
import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import { SocketDeadline } from "@lavenderferry/runtime";
import type { ByteAccount, ByteBudget } from "../memory/byte_budget.ts";
import type { HeaderCodec } from "../ports.ts";
import type { CallerEffect } from "../relay_effect.ts";
import type { RelayEvent } from "../relay_event.ts";
import { containFailures } from "./contain_failures.ts";

/** A caller's complete request, and the response to write the answer to. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly body: Buffer;
}

/** Bytes buffered for a slow caller above which its stream is aborted. */
const maxBufferedBytes = 1_048_576;

/** Bytes from which those buffered for a caller are held to account. */
const minAccountedBytes = 16_384;

/**
 * Bytes for which each buffered write counts besides its own. Node keeps an
 * object with its callback for each, which for short events is most of them.
 */
const writeCostBytes = 512;

/** Header by which the connection is closed after an answer. */
const closeHeader = ["connection", "close"] as const;

/** What is buffered for a caller that reads slowly. */
interface Buffered {
  /** Writes since the buffer was last empty. */
  writes: number;
  account: ByteAccount | null;
}

/** Holds the open requests of callers and writes their answers. */
export class CallerExchanges {
  readonly #exchanges = new Map<string, CallerExchange>();
  /** Ids of open exchanges whose request was sent to an upstream. */
  readonly #sentIds = new Set<string>();
  readonly #codec: HeaderCodec;
  readonly #budget: ByteBudget;
  readonly #buffered = new Map<ServerResponse, Buffered>();
  /** Ended responses whose last bytes the system has not accepted yet. */
  readonly #writing = new Set<ServerResponse>();
  /** Whether answers ask callers to close their connections. */
  closing = false;

  /** `budget` bounds what is buffered for all callers. */
  constructor(codec: HeaderCodec, budget: ByteBudget) {
    this.#codec = codec;
    this.#budget = budget;
  }

  get(id: string): CallerExchange | undefined {
    return this.#exchanges.get(id);
  }

  add(id: string, exchange: CallerExchange): void {
    this.#exchanges.set(id, exchange);
  }

  /** Removes an exchange; returns whether it was open. */
  remove(id: string): boolean {
    this.#sentIds.delete(id);
    return this.#exchanges.delete(id);
  }

  /** Notes that the request of an open exchange is sent to an upstream. */
  markSent(id: string): void {
    this.#sentIds.add(id);
  }

  /** Whether the request of an open exchange was sent to an upstream. */
  wasSent(id: string): boolean {
    return this.#sentIds.has(id);
  }

  /**
   * Ends an exchange on which an effect threw an exception. The request may have
   * run, so its caller gets a failure that promises nothing; an answer that has
   * begun is cut.
   */
  readonly failExchange = (
    { kind: effect, exchangeId }: {
      readonly kind: string;
      readonly exchangeId: string;
    },
    error: unknown,
    dispatch: Dispatch<RelayEvent>,
  ): void => {
    const exchange = this.#exchanges.get(exchangeId);
    this.remove(exchangeId);
    if (exchange?.response.headersSent === false) {
      const { response, requestId } = exchange;
      const failure = { error: "upstream_invalid", notRun: "unknown" } as const;
      this.sendFailure(response, { ...failure, requestId });
    } else {
      exchange?.response.destroy();
    }
    const detail = String(error);
    dispatch({ kind: "relaying_failed", exchangeId, effect, detail });
  };

  readonly handlers: EffectHandlers<RelayEvent, CallerEffect> = containFailures<
    RelayEvent,
    CallerEffect
  >({
    send_answer: ({ exchangeId, answer }) => {
      const response = this.#exchanges.get(exchangeId)?.response;
      if (response === undefined) {
        return;
      }
      const { status, headers, body } = answer;
      const lengthHeader = ["content-length", String(body.length)];
      this.#writeHead(response, status, [...headers, ...lengthHeader]);
      this.#end(exchangeId, response, body);
    },
    send_events: ({ exchangeId, head, bytes }, dispatch) => {
      const response = this.#exchanges.get(exchangeId)?.response;
      if (response === undefined) {
        return;
      }
      if (!response.headersSent) {
        this.#writeHead(response, head.status, head.headers);
      }
      const wasEmpty = response.writableLength === 0;
      response.write(bytes);
      this.#accountBuffered(response, wasEmpty);
      if (response.writableLength > maxBufferedBytes) {
        response.destroy();
        this.remove(exchangeId);
        dispatch({ kind: "caller_disconnected", exchangeId });
      }
    },
    finish_events: ({ exchangeId, head }) => {
      const response = this.#exchanges.get(exchangeId)?.response;
      if (response === undefined) {
        return;
      }
      if (!response.headersSent) {
        this.#writeHead(response, head.status, head.headers);
      }
      this.#end(exchangeId, response);
    },
    send_failure: ({ exchangeId, error, notRun, retryAfterMs }) => {
      const exchange = this.#exchanges.get(exchangeId);
      if (exchange !== undefined) {
        const { response, requestId } = exchange;
        this.sendFailure(response, { error, notRun, retryAfterMs, requestId });
        this.remove(exchangeId);
      }
    },
    abort_answer: ({ exchangeId }) => {
      const response = this.#exchanges.get(exchangeId)?.response;
      this.remove(exchangeId);
      response?.destroy();
    },
  }, this.failExchange);

  /** Answers with a problem document and the status of the error's kind. */
  sendFailure(response: ServerResponse, failure: {
    readonly error: ErrorKind;
    readonly notRun: NotRun;
    readonly retryAfterMs?: number | null;
    readonly requestId?: string | undefined;
    /** Whether the connection is closed after the answer. */
    readonly closes?: boolean;
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
      ...failure.closes === true && !this.closing ? closeHeader : [],
    ]);
    this.#endResponse(response, body);
  }

  /**
   * Resolves once all ended responses are written to their connections, after
   * `timeoutMs` at the latest.
   */
  async waitUntilWritten(timeoutMs: number): Promise<void> {
    const signal = SocketDeadline.signal(timeoutMs);
    const written = [...this.#writing].map((response) =>
      once(response, "close", { signal })
    );
    // A caller that stopped reading gets no more than the time that is left.
    await Promise.allSettled(written);
  }

  /** Ends the answer of an exchange, which is then over. */
  #end(exchangeId: string, response: ServerResponse, body?: Buffer): void {
    this.#endResponse(response, body);
    this.remove(exchangeId);
  }

  #endResponse(response: ServerResponse, body?: Buffer): void {
    this.#writing.add(response);
    response.once("close", () => this.#writing.delete(response));
    const wasEmpty = response.writableLength === 0;
    response.end(body);
    this.#accountBuffered(response, wasEmpty);
  }

  /** States what is buffered for a caller, until its answer is written. */
  #accountBuffered(response: ServerResponse, wasEmpty: boolean): void {
    const buffered = this.#buffered.get(response) ??
      this.#addBuffered(response);
    buffered.writes = wasEmpty ? 1 : buffered.writes + 1;
    const bytes = response.writableLength === 0
      ? 0
      : response.writableLength + buffered.writes * writeCostBytes;
    if (bytes >= minAccountedBytes) {
      buffered.account ??= this.#budget.open(() => response.destroy());
    }
    buffered.account?.set(bytes);
  }

  #addBuffered(response: ServerResponse): Buffered {
    const buffered: Buffered = { writes: 0, account: null };
    this.#buffered.set(response, buffered);
    response.on("drain", () => buffered.account?.set(response.writableLength));
    response.once("close", () => {
      this.#buffered.delete(response);
      buffered.account?.close();
    });
    return buffered;
  }

  #writeHead(
    response: ServerResponse,
    status: number,
    headers: readonly string[],
  ): void {
    const connectionHeader = this.closing ? closeHeader : [];
    response.writeHead(status, [...headers, ...connectionHeader]);
  }
}
