import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { randomBytes } from "node:crypto";
import type { ConnectionGuard, Dispatch } from "@lavenderferry/runtime";
import { announce } from "@lavenderferry/runtime";
import type { ByteBudget } from "../memory/byte_budget.ts";
import { memoryRetryMs } from "../memory/memory_retry_ms.ts";
import type { HeaderCodec } from "../ports.ts";
import type { RelayEvent, RequestReceived } from "../relay_event.ts";
import type { SocketAddress } from "@lavenderferry/fleet";
import type { RequestHead } from "../requests/refuses_at_once.ts";
import { prefixBytesOf, readGeneration } from "../requests/read_generation.ts";
import { digestContent } from "../requests/request_fingerprint.ts";
import { listen } from "../util/listen.ts";
import { areWritableHeaders } from "./are_writable_headers.ts";
import type { CallerExchange, CallerExchanges } from "./caller_exchanges.ts";
import { forwardedHeader } from "./forwarded_header.ts";
import type { HeldPhase } from "./held_request.ts";
import { HeldRequest } from "./held_request.ts";

/** A caller's request and the response to it. */
type Messages = Pick<CallerExchange, "request" | "response">;

/** Dependencies of the callers' server. */
export interface FrontServerOptions {
  readonly codec: HeaderCodec;
  readonly exchanges: CallerExchanges;
  /** Bounds what all requests hold. */
  readonly budget: ByteBudget;
  /** Whether a request is refused whatever else it holds. */
  readonly refuses: (head: RequestHead) => boolean;
  /** Bounds what clients send. */
  readonly guard: ConnectionGuard;
  readonly dispatch: Dispatch<RelayEvent>;
}

/** Largest request header that Node parses; the routing's limit is lower. */
const maxHeaderBytes = 65_536;

/** Largest body until a routing sets the limit. */
const defaultMaxBodyBytes = 1_048_576;

/** Time-out of request headers until a routing sets the limit. */
const defaultHeadersTimeoutMs = 3_000;

/** Random bytes at the start of exchange ids. */
const idPrefixBytes = 6;

/** Milliseconds between two checks for headers that take too long. */
const connectionCheckPeriodMs = 1_000;

/** Accepts callers' requests and dispatches each once its body is complete. */
export class FrontServer {
  readonly #options: FrontServerOptions;
  readonly #server: Server;
  readonly #idPrefix = randomBytes(idPrefixBytes).toString("hex");
  #nextId = 1;
  #maxBodyBytes = defaultMaxBodyBytes;

  constructor(options: FrontServerOptions) {
    this.#options = options;
    this.#server = options.guard.createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: defaultHeadersTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: connectionCheckPeriodMs,
        noDelay: true,
      },
      (request, response) => {
        // Writes to a connection that has just closed end with an error.
        response.on("error", () => undefined);
        try {
          this.#receive(request, response);
        } catch (error) {
          // What one caller sends must not end the exchanges of others.
          announce("unreadable_request", { error: String(error) });
          response.destroy();
        }
      },
    );
  }

  /** Port on which the server listens; 0 before that. */
  get port(): number {
    const address = this.#server.address();
    return address === null || typeof address === "string" ? 0 : address.port;
  }

  listen(socket: SocketAddress): Promise<void> {
    return listen(this.#server, socket);
  }

  /** Closes the server and all connections, open requests included. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Applies the limits of a routing to later requests. */
  applyLimits(limits: {
    readonly idleMs: number;
    readonly headersMs: number;
    readonly bodyBytes: number;
  }): void {
    this.#server.keepAliveTimeout = limits.idleMs;
    this.#server.headersTimeout = limits.headersMs;
    this.#maxBodyBytes = limits.bodyBytes;
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = performance.now();
    const id = `${this.#idPrefix}-${this.#nextId++}`;
    const { codec, exchanges, dispatch } = this.#options;
    const metadata = codec.readRequest(request.headers);
    const { requestId } = metadata;
    const { host } = request.headers;
    const held = this.#hold(id, { request, response });
    if (
      requestId === null || host === undefined || !isSendable(request)
    ) {
      request.resume();
      exchanges.sendFailure(response, { error: "bad_request", notRun: true });
      return;
    }
    const head = {
      host: hostNameOf(host),
      path: pathOf(request.url ?? "/"),
      key: metadata.key,
    };
    this.#readBody(held, { request, response }, (body) => {
      // What is refused in any case must not cost more than its transfer.
      const content = this.#options.refuses(head)
        ? { generation: null, contentDigest: null }
        : this.#readContent(request, body);
      held.addBytes(prefixBytesOf(content.generation));
      exchanges.add(id, { request, response, requestId, body });
      response.on("close", () => {
        if (exchanges.remove(id)) {
          dispatch({ kind: "caller_disconnected", exchangeId: id });
        }
      });
      dispatch({
        kind: "request_received",
        exchangeId: id,
        requestId,
        ...head,
        budgetMs: metadata.budgetMs,
        ...content,
        isForwarded: request.headers[forwardedHeader] !== undefined,
        arrivedAt,
      });
    });
  }

  /** Reads the generation that a request asks for, and digests the request. */
  #readContent(
    request: IncomingMessage,
    body: Buffer,
  ): Pick<RequestReceived, "generation" | "contentDigest"> {
    const { method = "GET", url = "/", headers } = request;
    const generation = readGeneration(this.#options.codec, headers);
    const contentDigest = digestContent({
      method,
      host: hostNameOf(headers.host ?? ""),
      url,
      body,
      prefix: generation?.prefix ?? [],
    });
    return { generation, contentDigest };
  }

  /**
   * Accounts for a request until it is complete and its answer has ended. If the
   * process holds too much, a request that has not run is refused.
   */
  #hold(id: string, { request, response }: Messages): HeldRequest {
    const { budget, dispatch, exchanges } = this.#options;
    const end: Readonly<Record<HeldPhase, () => void>> = {
      receiving: () => {
        // What its caller still sends would be read for nothing.
        const failure = { error: "overloaded", notRun: true } as const;
        exchanges.sendFailure(response, {
          ...failure,
          retryAfterMs: memoryRetryMs,
          closes: true,
        });
      },
      dispatched: () => dispatch({ kind: "memory_exceeded", exchangeId: id }),
      // Node detaches a response from its connection once it is written.
      answered: () => request.destroy(),
    };
    return new HeldRequest({
      request,
      response,
      budget,
      hasStarted: () => exchanges.wasSent(id),
      end: (phase) => end[phase](),
    });
  }

  /** Reads a body; an incomplete one is dropped with its connection. */
  #readBody(
    held: HeldRequest,
    { request, response }: Messages,
    onBody: (body: Buffer) => void,
  ): void {
    const maxBytes = this.#maxBodyBytes;
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (held.phase !== "receiving") {
        return;
      }
      if (length <= maxBytes) {
        held.push(chunk);
        return;
      }
      held.dropBody();
      const error = "body_too_large";
      this.#options.exchanges.sendFailure(response, { error, notRun: true });
    });
    request.on("end", () => {
      if (held.phase === "receiving") {
        onBody(held.take());
      }
    });
    // The caller aborted an incomplete request; nothing was relayed.
    request.on("error", () => response.destroy());
  }
}

/** Characters that Node refuses to send in a path. */
const unsendablePathPattern = /[^\u0021-\u00ff]/;

/** Whether Node can send a request that it has received. */
function isSendable({ url = "/", rawHeaders }: IncomingMessage): boolean {
  return !unsendablePathPattern.test(url) && areWritableHeaders(rawHeaders);
}

/** Returns the name in a Host header, without its port. */
function hostNameOf(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

function pathOf(url: string): string {
  const end = url.indexOf("?");
  return end < 0 ? url : url.slice(0, end);
}
