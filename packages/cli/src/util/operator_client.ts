import type { Failure } from "@lavenderferry/errors";
import { errorKinds, KnownError } from "@lavenderferry/errors";
import { request } from "undici";
import { z } from "zod";
import type { CliSettings } from "../settings.ts";

/** A steward's answer. */
export interface Answer {
  readonly body: Record<string, unknown>;
  /** Version that the ETag header names, if any. */
  readonly version: number | null;
}

/** What a request carries besides its path. */
export interface RequestOptions {
  readonly method?: "GET" | "PUT" | "POST";
  readonly body?: object;
  readonly ifVersion?: number;
}

/** An error that a steward, not the command line, has caused. */
export const StewardError = KnownError.subclass("StewardError");

const timeoutMs = 10_000;

const problemSchema = z.object({
  detail: z.string(),
  kind: z.enum(Object.keys(errorKinds) as [keyof typeof errorKinds]),
});

const neverSentCodes: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Asks the stewards' operator interface, each in turn until one answers. */
export class OperatorClient {
  readonly #settings: CliSettings;

  constructor(settings: CliSettings) {
    this.#settings = settings;
  }

  /** Sends a request; a problem that the steward states fails with its kind. */
  async send(path: string, options: RequestOptions = {}): Promise<Answer> {
    let last: unknown;
    for (const steward of this.#settings.stewards) {
      try {
        return await this.#sendTo(`${steward}/operator/v1/${path}`, options);
      } catch (error) {
        if (error instanceof KnownError) {
          throw error;
        }
        const repeatable = (options.method ?? "GET") === "GET";
        if (!repeatable && !neverSent(error)) {
          throw lost(steward);
        }
        last = error;
      }
    }
    const addresses = this.#settings.stewards.join(", ");
    throw new StewardError(`No steward answered at ${addresses}`, {
      kind: "no_upstream",
      props: { reason: String(last) },
    });
  }

  async #sendTo(url: string, options: RequestOptions): Promise<Answer> {
    const { method = "GET", body, ifVersion } = options;
    const response = await request(url, {
      method,
      headers: {
        authorization: `Bearer ${this.#settings.operatorKey}`,
        ...(body === undefined ? {} : { "content-type": "application/json" }),
        ...(ifVersion === undefined ? {} : { "if-match": `"${ifVersion}"` }),
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await response.body.text();
    if (response.statusCode < 200 || response.statusCode > 299) {
      throw refused(text, response.statusCode, url);
    }
    const parsed = JSON.parse(text) as Record<string, unknown>;
    const etag = /^"(\d+)"$/.exec(String(response.headers["etag"] ?? ""));
    return { body: parsed, version: etag === null ? null : Number(etag[1]) };
  }
}

/** Returns whether another change was accepted first. */
export function isConflict(error: unknown): boolean {
  return error instanceof StewardError && error.kind === "conflict";
}

function refused(text: string, status: number, url: string): Failure {
  const problem = problemSchema.safeParse(parseJson(text));
  if (problem.success) {
    const { detail, kind } = problem.data;
    return new StewardError(detail, { kind });
  }
  const message = status === 404
    ? `The steward does not know the path "${new URL(url).pathname}"`
    : `The steward answered with status ${status}`;
  return new StewardError(message, { kind: "upstream_invalid" });
}

function lost(steward: string): Failure {
  return new StewardError(
    `The answer of ${steward} was lost; see \`get\` for what is in force`,
    { kind: "upstream_lost" },
  );
}

function neverSent(error: unknown): boolean {
  return error instanceof Error && "code" in error &&
    neverSentCodes.has(error.code);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
