import type { Failure } from "@lavenderferry/errors";
import { errorKinds, KnownError } from "@lavenderferry/errors";
import { request } from "undici";
import { z } from "zod";
import type { CliSettings } from "../settings.ts";

/** A successful response of a steward. */
export interface StewardResponse {
  readonly body: Record<string, unknown>;
  /** Configuration version in the ETag header, or `null` without one. */
  readonly version: number | null;
}

/** Options of a request to a steward. */
export interface RequestOptions {
  readonly method?: "GET" | "PUT" | "POST";
  readonly body?: object;
  /** Configuration version for the If-Match header. */
  readonly ifVersion?: number;
}

/** Error reported by a steward, or caused by the lack of a response. */
export const StewardError = KnownError.subclass("StewardError");

const requestTimeoutMs = 10_000;

const problemSchema = z.object({
  detail: z.string(),
  kind: z.enum(Object.keys(errorKinds) as [keyof typeof errorKinds]),
});

/** Codes of failed connection attempts, after which nothing was sent. */
const connectErrorCodes: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Client of the stewards' operator interface. Tries the stewards in the order
 * of the settings until one responds.
 */
export class OperatorClient {
  readonly #settings: CliSettings;

  constructor(settings: CliSettings) {
    this.#settings = settings;
  }

  /**
   * Sends a request. Throws a `StewardError` with the kind of the problem
   * document if the steward responds with one. A request other than GET is sent
   * to the next steward only after a failed connection attempt, as it must not
   * be executed twice.
   */
  async send(
    path: string,
    options: RequestOptions = {},
  ): Promise<StewardResponse> {
    let lastError: unknown;
    for (const steward of this.#settings.stewards) {
      try {
        return await this.#sendTo(`${steward}/operator/v1/${path}`, options);
      } catch (error) {
        if (error instanceof KnownError) {
          throw error;
        }
        const isRead = (options.method ?? "GET") === "GET";
        if (!isRead && !isConnectError(error)) {
          throw createLostResponseError(steward);
        }
        lastError = error;
      }
    }
    const addresses = this.#settings.stewards.join(", ");
    throw new StewardError(`No steward answered at ${addresses}`, {
      kind: "no_upstream",
      props: { reason: String(lastError) },
    });
  }

  async #sendTo(
    url: string,
    options: RequestOptions,
  ): Promise<StewardResponse> {
    const { method = "GET", body, ifVersion } = options;
    const response = await request(url, {
      method,
      headers: {
        authorization: `Bearer ${this.#settings.operatorKey}`,
        ...(body === undefined ? {} : { "content-type": "application/json" }),
        ...(ifVersion === undefined ? {} : { "if-match": `"${ifVersion}"` }),
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
    const text = await response.body.text();
    if (response.statusCode < 200 || response.statusCode > 299) {
      throw toStewardError(text, response.statusCode, url);
    }
    const parsed = JSON.parse(text) as Record<string, unknown>;
    const etag = /^"(\d+)"$/.exec(String(response.headers["etag"] ?? ""));
    return { body: parsed, version: etag === null ? null : Number(etag[1]) };
  }
}

/** Returns whether a change was rejected because its version is outdated. */
export function isConflict(error: unknown): boolean {
  return error instanceof StewardError && error.kind === "conflict";
}

function toStewardError(text: string, status: number, url: string): Failure {
  const problem = problemSchema.safeParse(parseJsonOrNull(text));
  if (problem.success) {
    const { detail, kind } = problem.data;
    return new StewardError(detail, { kind });
  }
  const message = status === 404
    ? `The steward does not know the path "${new URL(url).pathname}"`
    : `The steward answered with status ${status}`;
  return new StewardError(message, { kind: "upstream_invalid" });
}

function createLostResponseError(steward: string): Failure {
  return new StewardError(
    `No response from ${steward}; check the configuration with \`get\``,
    { kind: "upstream_lost" },
  );
}

function isConnectError(error: unknown): boolean {
  return error instanceof Error && "code" in error &&
    connectErrorCodes.has(error.code);
}

function parseJsonOrNull(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
