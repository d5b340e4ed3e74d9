import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { randomBytes } from "node:crypto";
import type { Dispatch } from "@lavenderferry/runtime";
import type { HeaderCodec } from "../ports.ts";
import type { RelayEvent } from "../relay_event.ts";
import type { Socket } from "../settings.ts";
import { listen } from "../util/listen.ts";
import type { CallerExchanges } from "./caller_exchanges.ts";

/** What the callers' server works with. */
export interface FrontServerOptions {
  readonly codec: HeaderCodec;
  readonly exchanges: CallerExchanges;
  readonly dispatch: Dispatch<RelayEvent>;
}

/** Largest header that is read at all; the routing's bound is lower. */
const maxHeaderBytes = 65_536;

/** Bound on bodies until a routing says another. */
const defaultBodyBytes = 1_048_576;

/** Bound on the time of a header until a routing says another. */
const defaultHeadersMs = 3_000;

/** Bytes of the random part of an exchange's id. */
const idBytes = 6;

/** Milliseconds between two checks for headers that take too long. */
const checkConnectionsMs = 1_000;

/** Takes requests from callers; a request is handed on once it is whole. */
export class FrontServer {
  readonly #options: FrontServerOptions;
  readonly #server: Server;
  readonly #prefix = randomBytes(idBytes).toString("hex");
  #next = 1;
  #bodyBytes = defaultBodyBytes;

  constructor(options: FrontServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: defaultHeadersMs,
        requestTimeout: 0,
        connectionsCheckingInterval: checkConnectionsMs,
        noDelay: true,
      },
      (request, response) => this.#receive(request, response),
    );
  }

  /** Listens on the socket. */
  listen(socket: Socket): Promise<void> {
    return listen(this.#server, socket);
  }

  /** Closes all connections. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Applies the bounds of what callers may send. */
  limit(limits: {
    readonly idleMs: number;
    readonly headersMs: number;
    readonly bodyBytes: number;
  }): void {
    this.#server.keepAliveTimeout = limits.idleMs;
    this.#server.headersTimeout = limits.headersMs;
    this.#bodyBytes = limits.bodyBytes;
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = performance.now();
    const id = `${this.#prefix}-${this.#next++}`;
    const { codec, exchanges, dispatch } = this.#options;
    const facts = codec.readRequest(request.headers);
    const { requestId } = facts;
    const { host } = request.headers;
    if (requestId === null || host === undefined) {
      request.resume();
      exchanges.sendFailure(response, { error: "bad_request", notRun: true });
      return;
    }
    this.#readBody(request, response, (body) => {
      exchanges.add(id, { request, response, requestId, body });
      response.on("close", () => {
        if (exchanges.remove(id)) {
          dispatch({ kind: "request_left", exchangeId: id });
        }
      });
      dispatch({
        kind: "request_received",
        exchangeId: id,
        requestId,
        host: hostNameOf(host),
        path: pathOf(request.url ?? "/"),
        key: facts.key,
        budgetMs: facts.budgetMs,
        generation: facts.generation,
        arrivedAt,
      });
    });
  }

  /** Reads a body; one that ends early is forgotten with its connection. */
  #readBody(
    request: IncomingMessage,
    response: ServerResponse,
    then: (body: Buffer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length <= this.#bodyBytes) {
        chunks.push(chunk);
      }
    });
    request.on("end", () => {
      if (length <= this.#bodyBytes) {
        then(Buffer.concat(chunks));
        return;
      }
      const { exchanges } = this.#options;
      const error = "body_too_large";
      exchanges.sendFailure(response, { error, notRun: true });
    });
    // The caller broke off before its request was whole: nothing was sent on.
    request.on("error", () => response.destroy());
  }
}

/** Returns the name in a Host header, without its port. */
function hostNameOf(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

function pathOf(url: string): string {
  const end = url.indexOf("?");
  return end < 0 ? url : url.slice(0, end);
}
