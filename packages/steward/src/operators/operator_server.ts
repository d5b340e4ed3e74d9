import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { statementSchema } from "@lavenderferry/configuration";
import type { Failure } from "@lavenderferry/errors";
import {
  KnownError,
  problemMediaType,
  toFailure,
  toProblem,
} from "@lavenderferry/errors";
import type { Dispatch } from "@lavenderferry/runtime";
import type { Polka } from "polka";
import polka from "polka";
import type { Registry } from "prom-client";
import type { StewardEvent } from "../events.ts";
import type { Replies } from "../process/replies.ts";
import type { StewardSettings } from "../settings.ts";
import { sendMetrics } from "./send_metrics.ts";
import type { Operation } from "./operator_event.ts";

/** What the operators' server works with. */
export interface OperatorServerOptions {
  readonly settings: StewardSettings;
  readonly dispatch: Dispatch<StewardEvent>;
  readonly replies: Replies;
}

interface Answer {
  readonly body: object;
  readonly version?: number;
}

type Request = IncomingMessage & {
  readonly params: Record<string, unknown>;
  readonly query: Record<string, unknown>;
};

const maxBodyBytes = 4_194_304;

/** Serves the operators' interface over HTTP. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;
  readonly #application: Polka;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    const application = polka()
      .get("/healthz", (_request, response) => send(response, { body: {} }))
      .get(
        "/operator/v1/configuration",
        this.#handle(() => ({
          kind: "read_configuration",
        })),
      )
      .put("/operator/v1/configuration", this.#handle(readChange))
      .get(
        "/operator/v1/history",
        this.#handle((request) => ({
          kind: "read_history",
          after: Number(request.query["after"] ?? 0),
        })),
      )
      .get("/operator/v1/costs", this.#handle(() => ({ kind: "read_costs" })))
      .get("/operator/v1/status", this.#handle(() => ({ kind: "read_status" })))
      .get(
        "/operator/v1/explain/:subject",
        this.#handle((request) => ({
          kind: "explain",
          subject: String(request.params["subject"]),
        })),
      );
    this.#server = createServer((request, response) => {
      void application.handler(request as never, response as never);
    });
    this.#application = application;
  }

  /** Listens on the socket and returns the port taken. */
  async listen(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Serves the series of a registry at `/metrics`. */
  serveMetrics(registry: Registry): void {
    this.#application.get("/metrics", (_request, response) => {
      void sendMetrics(response, registry);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #handle(
    parse: (request: Request) => Operation | Promise<Operation>,
  ): (request: unknown, response: ServerResponse) => Promise<void> {
    return async (request, response) => {
      try {
        const operator = this.#authenticate(request as Request);
        const operation = await parse(request as Request);
        const { replies, dispatch } = this.#options;
        const answer = await replies.wait<Answer>((replyId) =>
          dispatch({ kind: "operator_requested", replyId, operator, operation })
        );
        send(response, answer);
      } catch (error) {
        sendFailure(response, toFailure(error));
      }
    };
  }

  #authenticate(request: Request): string {
    const text = request.headers.authorization ?? "";
    const given = Buffer.from(text.replace(/^Bearer /, ""));
    const found = Object.entries(this.#options.settings.operatorKeys).find(
      ([, key]) => {
        const expected = Buffer.from(key);
        return expected.length === given.length &&
          timingSafeEqual(expected, given);
      },
    );
    if (found === undefined) {
      throw new KnownError("The operator key is not valid", {
        kind: "unauthenticated",
      });
    }
    return found[0];
  }
}

async function readChange(request: Request): Promise<Operation> {
  const match = /^"(\d+)"$/.exec(request.headers["if-match"] ?? "");
  if (match === null) {
    throw new KnownError("The header If-Match must name the version seen", {
      kind: "bad_request",
    });
  }
  const parsed = statementSchema.safeParse(await readJson(request));
  if (!parsed.success) {
    const lines = parsed.error.issues.map(({ path, message }) =>
      `${path.join(".")}: ${message}`
    );
    throw new KnownError(lines.join("\n"), { kind: "bad_request" });
  }
  const ifVersion = Number(match[1]);
  return { kind: "apply", ifVersion, statement: parsed.data };
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > maxBodyBytes) {
      throw new KnownError("The body is too large", { kind: "body_too_large" });
    }
    chunks.push(chunk as Buffer);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString());
  } catch (cause) {
    throw new KnownError("The body is not JSON", {
      kind: "bad_request",
      cause,
    });
  }
}

function send(response: ServerResponse, { body, version }: Answer): void {
  const text = JSON.stringify(body);
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...(version === undefined ? {} : { etag: `"${version}"` }),
  });
  response.end(text);
}

function sendFailure(response: ServerResponse, failure: Failure): void {
  const { kind, message: detail, notRun } = failure;
  const problem = toProblem({ kind, detail, notRun });
  const text = JSON.stringify(problem);
  response.writeHead(problem.status, {
    "content-type": problemMediaType,
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
