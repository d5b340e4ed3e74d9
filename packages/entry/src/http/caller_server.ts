import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { verifyCallerKey, verifyEventId } from "@lavenderferry/credentials";
import type { Failure } from "@lavenderferry/errors";
import { KnownError, toFailure, toProblem } from "@lavenderferry/errors";
import { listAddresses } from "@lavenderferry/fleet";
import type { Dispatch } from "@lavenderferry/runtime";
import polka from "polka";
import type { EntryEvent } from "../events.ts";
import type { ReaderRunner } from "../generations/reader_runner.ts";
import type { EntryMetrics } from "../process/metrics.ts";
import type { EntryState } from "../state.ts";
import { isReady } from "../util/is_ready.ts";
import { parseCompletionRequest, promptOf } from "./completion_request.ts";
import { readBody } from "./read_body.ts";
import { sendProblem } from "./send_problem.ts";

/** What the callers' server works with. */
export interface CallerServerOptions {
  readonly state: EntryState;
  readonly dispatch: Dispatch<EntryEvent>;
  readonly readers: ReaderRunner;
  readonly metrics: EntryMetrics;
}

const maxHeaderBytes = 16_384;
const maxKeyLength = 200;
const headersTimeoutMs = 10_000;
const finishLimitMs = 2_000;
const maxPathLength = 2_048;
const serviceName = /^[a-z0-9][a-z0-9-]{0,62}$/;
const callMethods: readonly string[] = [
  "GET",
  "POST",
  "PUT",
  "PATCH",
  "DELETE",
];

type Handler = (
  request: IncomingMessage & { readonly params: Record<string, unknown> },
  response: ServerResponse,
) => Promise<void> | void;

/** Serves the callers' interface over HTTP. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  #turn = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    const application = polka({
      onNoMatch: (_request, response) =>
        sendFailure(
          response,
          new KnownError("The path does not exist", { kind: "not_found" }),
        ),
    })
      .get("/healthz", (_request, response) => sendJson(response, {}))
      .get("/readyz", guard((_request, response) => this.#ready(response)))
      .get("/metrics", guard((_request, response) => this.#metrics(response)))
      .get(
        "/v1/addresses",
        guard((_request, response) => {
          this.#addresses(response);
        }),
      )
      .post(
        "/v1/chat/completions",
        guard((request, response) => this.#complete(request, response)),
      )
      .get(
        "/v1/streams",
        guard((request, response) => {
          this.#resume(request, response);
        }),
      )
      .delete(
        "/v1/generations/:request",
        guard((request, response) => {
          this.#cancel(request, response);
        }),
      )
      .all(
        "/v1/services/:service/*",
        guard((request, response) => this.#call(request, response)),
      );
    this.#server = createServer(
      { maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs },
      (request, response) => {
        void application.handler(request as never, response as never);
      },
    );
  }

  /** Listens on the socket and returns the port taken. */
  async listen(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Takes no connections; resolves once running responses are written. */
  async finish(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeIdleConnections();
    const limit = new Promise<void>((resolve) =>
      setTimeout(resolve, finishLimitMs)
    );
    await Promise.race([closed, limit]);
  }

  /** Closes all connections. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #ready(response: ServerResponse): void {
    const { state } = this.#options;
    if (state.stopping) {
      throw new KnownError("The entry is draining", { kind: "draining" });
    }
    if (!isReady(state, Date.now())) {
      throw new KnownError("The entry is not ready", { kind: "not_ready" });
    }
    sendJson(response, {});
  }

  async #metrics(response: ServerResponse): Promise<void> {
    const { registry } = this.#options.metrics;
    response.writeHead(200, { "content-type": registry.contentType });
    response.end(await registry.metrics());
  }

  #addresses(response: ServerResponse): void {
    const { fleet, settings } = this.#options.state;
    const list = listAddresses(fleet.membership.all(), {
      dataCentre: settings.dataCentre,
      turn: this.#turn++,
      wall: Date.now(),
      load: (id) => fleet.loadOf(id),
    });
    sendJson(response, {
      addresses: list.addresses,
      keepUntil: new Date(list.keepUntil).toISOString(),
    });
  }

  async #complete(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const workspace = this.#authenticate(request);
    const body = await readBody(
      request,
      this.#options.state.settings.maxBodyBytes,
    );
    const parsed = parseCompletionRequest(body);
    const { dispatch } = this.#options;
    dispatch({
      kind: "generation_requested",
      readerId: this.#addReader(response),
      requestId: randomUUID(),
      workspace,
      workClass: parsed.class,
      model: parsed.model,
      prompt: promptOf(parsed),
      maxTokens: parsed.max_tokens,
      stream: parsed.stream,
      traceParent: header(request, "traceparent"),
    });
  }

  #resume(request: IncomingMessage, response: ServerResponse): void {
    const workspace = this.#authenticate(request);
    const eventId = header(request, "last-event-id") ?? "";
    const secret = this.#options.state.settings.streamSecret;
    const position = verifyEventId(eventId, secret);
    if (position === null) {
      throw new KnownError("The event id is not valid", {
        kind: "bad_request",
      });
    }
    if (position.token.workspace !== workspace) {
      throw new KnownError("The stream belongs to another workspace", {
        kind: "forbidden",
      });
    }
    const readerId = this.#addReader(response);
    this.#options.dispatch({ kind: "stream_resumed", readerId, position });
  }

  async #call(
    request: Parameters<Handler>[0],
    response: ServerResponse,
  ): Promise<void> {
    const workspace = this.#authenticate(request);
    const { maxBodyBytes } = this.#options.state.settings;
    const body = await readBody(request, maxBodyBytes);
    const method = request.method ?? "";
    const { service, path } = callTarget(request, method);
    const key = method === "GET" ? null : idempotencyKey(request);
    this.#options.dispatch({
      kind: "call_requested",
      readerId: this.#addReader(response),
      requestId: randomUUID(),
      workspace,
      workClass: header(request, "lavenderferry-class") ?? "",
      service,
      method,
      path,
      contentType: header(request, "content-type"),
      body,
      key,
      digest: digest([method, path, body]),
      traceParent: header(request, "traceparent"),
    });
  }

  #cancel(request: Parameters<Handler>[0], response: ServerResponse): void {
    const workspace = this.#authenticate(request);
    this.#options.dispatch({
      kind: "cancel_requested",
      readerId: this.#addReader(response),
      requestId: String(request.params["request"]),
      workspace,
    });
  }

  #authenticate(request: IncomingMessage): string {
    const text = header(request, "authorization") ?? "";
    const key = text.replace(/^Bearer /, "");
    const secret = this.#options.state.settings.callerSecret;
    const workspace = verifyCallerKey(key, secret);
    if (workspace === null) {
      throw new KnownError("The caller key is not valid", {
        kind: "unauthenticated",
      });
    }
    return workspace;
  }

  #addReader(response: ServerResponse): string {
    const readerId = randomUUID();
    const { readers, dispatch } = this.#options;
    readers.add(readerId, response);
    response.once("close", () => {
      if (readers.remove(readerId)) {
        dispatch({ kind: "reader_left", readerId });
      }
    });
    return readerId;
  }
}

function callTarget(
  request: Parameters<Handler>[0],
  method: string,
): { readonly service: string; readonly path: string } {
  const service = String(request.params["service"]);
  const prefix = `/v1/services/${service}`;
  const url = request.url ?? "";
  const path = url.slice(prefix.length);
  const valid = callMethods.includes(method) && serviceName.test(service) &&
    url.startsWith(`${prefix}/`) && path.length <= maxPathLength;
  if (!valid) {
    throw new KnownError("The method, service or path is not valid", {
      kind: "bad_request",
    });
  }
  return { service, path };
}

function guard(handler: Handler): Handler {
  return async function handle(request, response) {
    try {
      await handler(request, response);
    } catch (error) {
      sendFailure(response, toFailure(error));
    }
  };
}

function sendFailure(response: ServerResponse, failure: Failure): void {
  const { kind, message: detail, notRun } = failure;
  sendProblem(response, toProblem({ kind, detail, notRun }));
}

function sendJson(response: ServerResponse, body: object): void {
  const text = JSON.stringify(body);
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

function idempotencyKey(request: IncomingMessage): string {
  const key = header(request, "idempotency-key") ?? "";
  if (key === "" || key.length > maxKeyLength) {
    throw new KnownError(
      `The header Idempotency-Key must have 1 to ${maxKeyLength} characters`,
      { kind: "key_missing" },
    );
  }
  return digest([key]);
}

function digest(parts: readonly string[]): string {
  return createHash("sha256").update(JSON.stringify(parts)).digest("base64url");
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
