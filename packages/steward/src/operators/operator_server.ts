import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { KnownError, toFailure } from "@lavenderferry/errors";
import type { CloseReason, Dispatch } from "@lavenderferry/runtime";
import { ConnectionGuard } from "@lavenderferry/runtime";
import type { Polka } from "polka";
import polka from "polka";
import type { Registry } from "prom-client";
import type { StewardEvent } from "../events.ts";
import type { PendingReplies } from "../process/pending_replies.ts";
import type { StewardSettings } from "../settings.ts";
import { sendMetrics } from "./send_metrics.ts";
import type { Operation } from "./operator_event.ts";
import { readPeriod, readVersion } from "./query.ts";
import { readChange } from "./read_change.ts";
import type { Answer, Refusal } from "./send_answer.ts";
import { sendAnswer, sendRefusal } from "./send_answer.ts";

const finishTimeoutMs = 2_000;

/** Dependencies of the operators' server. */
export interface OperatorServerOptions {
  readonly settings: StewardSettings;
  readonly dispatch: Dispatch<StewardEvent>;
  readonly replies: PendingReplies;
  /** Counts a connection that was closed as it exceeds a limit. */
  readonly onConnectionClosed: (reason: CloseReason) => void;
}

type Request = IncomingMessage & {
  readonly params: Record<string, unknown>;
  readonly query: Record<string, unknown>;
};

/** Serves the operators' interface over HTTP. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;
  readonly #server: Server;
  readonly #application: Polka;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    const application = polka()
      .get(
        "/healthz",
        (_request, response) => sendAnswer(response, { body: {} }),
      )
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
          after: readVersion(request.query, "after") ?? 0,
        })),
      )
      .get(
        "/operator/v1/diff",
        this.#handle(({ query }) => ({
          kind: "read_diff",
          from: readVersion(query, "from"),
          to: readVersion(query, "to"),
        })),
      )
      .get(
        "/operator/v1/costs",
        this.#handle(({ query }) => ({
          kind: "read_costs",
          period: readPeriod(query),
        })),
      )
      .get("/operator/v1/status", this.#handle(() => ({ kind: "read_status" })))
      .get(
        "/operator/v1/explain/:subject",
        this.#handle((request) => ({
          kind: "explain",
          subject: String(request.params["subject"]),
        })),
      )
      .post(
        "/operator/v1/drain/:vm",
        this.#handle((request) => ({
          kind: "drain",
          vm: String(request.params["vm"]),
        })),
      );
    const guard = new ConnectionGuard({
      server: "operators",
      limits: options.settings.connections,
      onClosed: options.onConnectionClosed,
    });
    this.#server = guard.createServer({}, (request, response) => {
      void application.handler(request as never, response as never);
    });
    this.#application = application;
  }

  /** Listens on the socket and returns the bound port. */
  async listen(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Serves the metrics of a registry at `/metrics`. */
  serveMetrics(registry: Registry): void {
    this.#application.get("/metrics", (_request, response) => {
      void sendMetrics(response, registry);
    });
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
        const reply = await replies.wait<Answer | Refusal>((replyId) =>
          dispatch({ kind: "operator_requested", replyId, operator, operation })
        );
        if ("failure" in reply) {
          sendRefusal(response, reply);
        } else {
          sendAnswer(response, reply);
        }
      } catch (error) {
        sendRefusal(response, { failure: toFailure(error) });
      }
    };
  }

  #authenticate(request: Request): string {
    const authorization = request.headers.authorization ?? "";
    const presentedKey = Buffer.from(authorization.replace(/^Bearer /, ""));
    const nameAndKey = Object.entries(this.#options.settings.operatorKeys)
      .find(
        ([, key]) => {
          const expected = Buffer.from(key);
          return expected.length === presentedKey.length &&
            timingSafeEqual(expected, presentedKey);
        },
      );
    if (nameAndKey === undefined) {
      throw new KnownError("The operator key is not valid", {
        kind: "unauthenticated",
      });
    }
    return nameAndKey[0];
  }
}
