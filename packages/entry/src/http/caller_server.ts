import { randomUUID } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { verifyCallerKey, verifyEventId } from "@lavenderferry/credentials";
import type { Failure } from "@lavenderferry/errors";
import { KnownError, toFailure, toProblem } from "@lavenderferry/errors";
import { listAddresses } from "@lavenderferry/fleet";
import type { Dispatch } from "@lavenderferry/runtime";
import { ConnectionGuard } from "@lavenderferry/runtime";
import polka from "polka";
import type { EntryEvent } from "../events.ts";
import type { ReaderRunner } from "../generations/reader_runner.ts";
import type { EntryMetrics } from "../process/metrics.ts";
import type { EntryState } from "../state.ts";
import { hashTexts } from "../util/hash_texts.ts";
import { isReady } from "../util/is_ready.ts";
import { buildPrompt, parseCompletionRequest } from "./completion_request.ts";
import { readBody } from "./read_body.ts";
import { sendProblem } from "./send_problem.ts";

/** Dependencies of `CallerServer`. */
export interface CallerServerOptions {
  readonly state: EntryState;
  readonly dispatch: Dispatch<EntryEvent>;
  readonly readers: ReaderRunner;
  readonly metrics: EntryMetrics;
}

const maxHeaderBytes = 16_384;
const maxKeyLength = 200;
const headersTimeoutMs = 10_000;
const finishTimeoutMs = 2_000;
const maxPathLength = 2_048;
const serviceNamePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;
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

/** Serves the HTTP interface for callers, health checks and metrics. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  #addressRotation = 0;

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
      .get(
        "/readyz",
        catchErrors((_request, response) => this.#sendReadiness(response)),
      )
      .get(
        "/metrics",
        catchErrors((_request, response) => this.#sendMetrics(response)),
      )
      .get(
        "/v1/addresses",
        catchErrors((_request, response) => {
          this.#sendAddresses(response);
        }),
      )
      .post(
        "/v1/chat/completions",
        catchErrors((request, response) =>
          this.#requestGeneration(request, response)
        ),
      )
      .get(
        "/v1/streams",
        catchErrors((request, response) => {
          this.#resumeStream(request, response);
        }),
      )
      .delete(
        "/v1/generations/:request",
        catchErrors((request, response) => {
          this.#requestCancellation(request, response);
        }),
      )
      .all(
        "/v1/services/:service/*",
        catchErrors((request, response) =>
          this.#requestCall(request, response)
        ),
      );
    const { state, metrics } = options;
    const guard = new ConnectionGuard({
      server: "callers",
      limits: state.settings.connections,
      onClosed: (reason) => metrics.counters.connections_closed.inc({ reason }),
    });
    this.#server = guard.createServer(
      { maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs },
      (request, response) => {
        void application.handler(request as never, response as never);
      },
    );
  }

  /** Listens on the address and returns the bound port. */
  async listen(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Accepts no more connections; resolves once all open connections have closed
   * or `finishTimeoutMs` has passed.
   */
  async finish(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeIdleConnections();
    const timeout = new Promise<void>((resolve) =>
      setTimeout(resolve, finishTimeoutMs)
    );
    await Promise.race([closed, timeout]);
  }

  /** Closes all connections at once. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #sendReadiness(response: ServerResponse): void {
    const { state } = this.#options;
    if (state.stopping) {
      throw new KnownError("The entry is draining", { kind: "draining" });
    }
    if (!isReady(state, Date.now())) {
      throw new KnownError("The entry is not ready", { kind: "not_ready" });
    }
    sendJson(response, {});
  }

  async #sendMetrics(response: ServerResponse): Promise<void> {
    const { registry } = this.#options.metrics;
    response.writeHead(200, { "content-type": registry.contentType });
    response.end(await registry.metrics());
  }

  #sendAddresses(response: ServerResponse): void {
    const { fleet, settings } = this.#options.state;
    const listed = listAddresses(fleet.membership.all(), {
      dataCentre: settings.dataCentre,
      rotation: this.#addressRotation++,
      wall: Date.now(),
      load: (id) => fleet.loadOf(id),
    });
    sendJson(response, {
      addresses: listed.addresses,
      keepUntil: new Date(listed.keepUntil).toISOString(),
    });
  }

  async #requestGeneration(
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
      prompt: buildPrompt(parsed),
      maxTokens: parsed.max_tokens,
      stream: parsed.stream,
      traceParent: readHeader(request, "traceparent"),
    });
  }

  #resumeStream(request: IncomingMessage, response: ServerResponse): void {
    const workspace = this.#authenticate(request);
    const eventId = readHeader(request, "last-event-id") ?? "";
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

  async #requestCall(
    request: Parameters<Handler>[0],
    response: ServerResponse,
  ): Promise<void> {
    const workspace = this.#authenticate(request);
    const { maxBodyBytes } = this.#options.state.settings;
    const body = await readBody(request, maxBodyBytes);
    const method = request.method ?? "";
    const { service, path } = parseCallTarget(request, method);
    const key = method === "GET" ? null : hashIdempotencyKey(request);
    this.#options.dispatch({
      kind: "call_requested",
      readerId: this.#addReader(response),
      requestId: randomUUID(),
      workspace,
      workClass: readHeader(request, "lavenderferry-class") ?? "",
      service,
      method,
      path,
      contentType: readHeader(request, "content-type"),
      body,
      key,
      digest: hashTexts([method, path, body]),
      traceParent: readHeader(request, "traceparent"),
    });
  }

  #requestCancellation(
    request: Parameters<Handler>[0],
    response: ServerResponse,
  ): void {
    const workspace = this.#authenticate(request);
    this.#options.dispatch({
      kind: "cancel_requested",
      readerId: this.#addReader(response),
      requestId: String(request.params["request"]),
      workspace,
    });
  }

  /** Returns the workspace of the caller's key; throws if it is invalid. */
  #authenticate(request: IncomingMessage): string {
    const credentials = readHeader(request, "authorization") ?? "";
    const key = credentials.replace(/^Bearer /, "");
    const secret = this.#options.state.settings.callerSecret;
    const workspace = verifyCallerKey(key, secret);
    if (workspace === null) {
      throw new KnownError("The caller key is not valid", {
        kind: "unauthenticated",
      });
    }
    return workspace;
  }

  /** Registers the response and reports when its connection closes. */
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

function parseCallTarget(
  request: Parameters<Handler>[0],
  method: string,
): { readonly service: string; readonly path: string } {
  const service = String(request.params["service"]);
  const prefix = `/v1/services/${service}`;
  const url = request.url ?? "";
  const path = url.slice(prefix.length);
  const valid = callMethods.includes(method) &&
    serviceNamePattern.test(service) &&
    url.startsWith(`${prefix}/`) && path.length <= maxPathLength;
  if (!valid) {
    throw new KnownError("The method, service or path is not valid", {
      kind: "bad_request",
    });
  }
  return { service, path };
}

/** Answers with a problem document when the handler throws. */
function catchErrors(handler: Handler): Handler {
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

function hashIdempotencyKey(request: IncomingMessage): string {
  const key = readHeader(request, "idempotency-key") ?? "";
  if (key === "" || key.length > maxKeyLength) {
    throw new KnownError(
      `The header Idempotency-Key must have 1 to ${maxKeyLength} characters`,
      { kind: "key_missing" },
    );
  }
  return hashTexts([key]);
}

function readHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
