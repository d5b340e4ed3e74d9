import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { randomBytes } from "node:crypto";
import type { ConnectionGuard, Dispatch } from "@lavenderferry/runtime";
import { announce, ChunkBuffer } from "@lavenderferry/runtime";
import type { ByteAccount, ByteBudget } from "../memory/byte_budget.ts";
import type { HeaderCodec } from "../ports.ts";
import type { RelayEvent } from "../relay_event.ts";
import type { SocketAddress } from "@lavenderferry/fleet";
import { readGeneration } from "../requests/read_generation.ts";
import { digestContent } from "../requests/request_fingerprint.ts";
import { listen } from "../util/listen.ts";
import { areWritableHeaders } from "./are_writable_headers.ts";
import type { CallerExchange, CallerExchanges } from "./caller_exchanges.ts";
import { forwardedHeader } from "./forwarded_header.ts";

/** Dependencies of the callers' server. */
export interface FrontServerOptions {
  readonly codec: HeaderCodec;
  readonly exchanges: CallerExchanges;
  /** Bounds what all requests hold. */
  readonly budget: ByteBudget;
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

/**
 * Retry delay for callers whose request does not fit into memory, in
 * milliseconds.
 */
const memoryRetryMs = 500;

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
    const generation = readGeneration(codec, request.headers);
    const { requestId } = metadata;
    const { host } = request.headers;
    if (
      requestId === null || host === undefined || !isSendable(request)
    ) {
      request.resume();
      exchanges.sendFailure(response, { error: "bad_request", notRun: true });
      return;
    }
    this.#readBody(id, { request, response }, (body) => {
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
        host: hostNameOf(host),
        path: pathOf(request.url ?? "/"),
        key: metadata.key,
        budgetMs: metadata.budgetMs,
        generation,
        isForwarded: request.headers[forwardedHeader] !== undefined,
        contentDigest: digestContent({
          method: request.method ?? "GET",
          host: hostNameOf(host),
          url: request.url ?? "/",
          body,
          prefix: generation?.prefix ?? [],
        }),
        arrivedAt,
      });
    });
  }

  /**
   * Reads a body; an incomplete one is dropped with its connection. Its bytes
   * are held to account until the answer has ended. If the process holds too
   * much, the request is refused, or fails if it was dispatched. What follows
   * after a refusal is discarded as far as the guard allows.
   */
  #readBody(
    id: string,
    { request, response }: Pick<CallerExchange, "request" | "response">,
    onBody: (body: Buffer) => void,
  ): void {
    const { budget, exchanges } = this.#options;
    const body = new ChunkBuffer();
    const maxBytes = this.#maxBodyBytes;
    let account: ByteAccount | null = null;
    let length = 0;
    let isRead = false;
    let isRefused = false;
    const openAccount = () => {
      const opened = budget.open(() => {
        isRefused = !isRead;
        body.clear();
        this.#failHeld(id, response, isRead);
      });
      response.once("close", opened.close);
      return opened;
    };
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (isRefused) {
        return;
      }
      if (length <= maxBytes) {
        body.push(chunk);
        account ??= openAccount();
        account.set(body.capacity);
        return;
      }
      isRefused = true;
      body.clear();
      account?.set(0);
      const error = "body_too_large";
      exchanges.sendFailure(response, { error, notRun: true });
    });
    request.on("end", () => {
      isRead = true;
      if (!isRefused) {
        onBody(body.take());
      }
    });
    // The caller aborted an incomplete request; nothing was relayed.
    request.on("error", () => response.destroy());
  }

  /** Ends the request that holds most once the process holds too much. */
  #failHeld(
    id: string,
    response: ServerResponse,
    wasDispatched: boolean,
  ): void {
    const { dispatch, exchanges } = this.#options;
    if (wasDispatched) {
      const effect = { kind: "hold_request", exchangeId: id };
      exchanges.failExchange(effect, new Error("Memory limit"), dispatch);
    } else {
      const failure = { error: "overloaded", notRun: true } as const;
      const retryAfterMs = memoryRetryMs;
      exchanges.sendFailure(response, { ...failure, retryAfterMs });
    }
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
