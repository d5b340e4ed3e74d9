import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { randomBytes } from "node:crypto";
import type { Dispatch } from "@lavenderferry/runtime";
import { announce } from "@lavenderferry/runtime";
import type { HeaderCodec } from "../ports.ts";
import type { RelayEvent } from "../relay_event.ts";
import type { SocketAddress } from "@lavenderferry/fleet";
import { digestContent } from "../requests/request_fingerprint.ts";
import { listen } from "../util/listen.ts";
import { areWritableHeaders } from "./are_writable_headers.ts";
import type { CallerExchanges } from "./caller_exchanges.ts";
import { forwardedHeader } from "./forwarded_header.ts";

/** Dependencies of the callers' server. */
export interface FrontServerOptions {
  readonly codec: HeaderCodec;
  readonly exchanges: CallerExchanges;
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
    this.#server = createServer(
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
    if (
      requestId === null || host === undefined || !isSendable(request)
    ) {
      request.resume();
      exchanges.sendFailure(response, { error: "bad_request", notRun: true });
      return;
    }
    this.#readBody(request, response, (body) => {
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
        generation: metadata.generation,
        isForwarded: request.headers[forwardedHeader] !== undefined,
        contentDigest: digestContent({
          method: request.method ?? "GET",
          host: hostNameOf(host),
          url: request.url ?? "/",
          body,
          prefix: metadata.generation?.prefix ?? [],
        }),
        arrivedAt,
      });
    });
  }

  /** Reads a body; an incomplete one is dropped with its connection. */
  #readBody(
    request: IncomingMessage,
    response: ServerResponse,
    onBody: (body: Buffer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length <= this.#maxBodyBytes) {
        chunks.push(chunk);
      }
    });
    request.on("end", () => {
      if (length <= this.#maxBodyBytes) {
        onBody(Buffer.concat(chunks));
        return;
      }
      const { exchanges } = this.#options;
      const error = "body_too_large";
      exchanges.sendFailure(response, { error, notRun: true });
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
