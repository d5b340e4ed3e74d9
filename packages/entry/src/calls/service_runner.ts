import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import { KnownError, readFinalStatus, toFailure } from "@lavenderferry/errors";
import type { PlatformClient } from "@lavenderferry/platform";
import type { Dispatcher } from "undici";
import { Agent } from "undici";
import type { EntryEvent } from "../events.ts";
import { neverSent } from "../util/never_sent.ts";
import type { CallEffect } from "./call_effect.ts";

const connectTimeoutMs = 1_000;
const callTimeoutMs = 10_000;
const maxAnswerBytes = 1_048_576;
/** Status codes of responses without a body. */
const statusesWithoutBody: readonly number[] = [204, 304];

type CallHandlers = EffectHandlers<EntryEvent, CallEffect>;

/** Calls plain services and commits the records of calls. */
export class ServiceRunner {
  /**
   * Opens a connection for each call. On a kept one, a service may write an
   * earlier answer again, which would count as that of the next call, or close
   * it while a call is sent, which would leave the outcome unknown.
   */
  readonly #agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: callTimeoutMs,
    bodyTimeout: callTimeoutMs,
    pipelining: 0,
  });
  readonly #platform: PlatformClient;

  constructor(platform: PlatformClient) {
    this.#platform = platform;
  }

  readonly handlers: CallHandlers = {
    call_service: (effect, dispatch) => {
      void this.#call(effect, dispatch);
    },
    commit_record: ({ callId, write }, dispatch) => {
      this.#platform.commit([write], "bookings").then(
        (result) => dispatch({ kind: "record_committed", callId, result }),
        (error: unknown) => {
          const { notRun } = toFailure(error);
          dispatch({ kind: "record_failed", callId, notRun });
        },
      );
    },
  };

  /** Closes all connections at once; calls in progress fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(
    effect: Extract<CallEffect, { kind: "call_service" }>,
    dispatch: Dispatch<EntryEvent>,
  ): Promise<void> {
    const { callId, upstream, address, method, path, body } = effect;
    try {
      const response = await this.#agent.request({
        origin: `http://${address}`,
        path,
        method: method as "POST",
        headers: headersOf(effect),
        body: method === "GET" ? null : body,
      });
      const status = readFinalStatus(response.statusCode);
      if (status === null) {
        discardBody(response);
        throw new KnownError(
          `The answer has the status ${response.statusCode}`,
          { kind: "upstream_invalid" },
        );
      }
      const contentType = String(response.headers["content-type"] ?? "");
      const answer = {
        status,
        contentType,
        body: await readAnswerBody(response),
      };
      const notRun = response.headers["not-run"] === "true";
      dispatch({ kind: "call_answered", callId, upstream, answer, notRun });
    } catch (error) {
      const notRun = neverSent(error) ? true : "unknown";
      const reason = notRun === true ? "unreachable" : "connection";
      dispatch({ kind: "call_failed", callId, upstream, notRun, reason });
    }
  }
}

/**
 * Reads a response body of at most `maxAnswerBytes`. Rejects a body that ends
 * with the connection, as its truncation could not be detected.
 */
async function readAnswerBody(
  response: Dispatcher.ResponseData,
): Promise<string> {
  const { headers, body, statusCode } = response;
  const hasFraming = headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  if (!hasFraming && !statusesWithoutBody.includes(statusCode)) {
    discardBody(response);
    throw new KnownError(
      "The answer has no Content-Length or Transfer-Encoding",
      {
        kind: "upstream_invalid",
      },
    );
  }
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += (chunk as Buffer).length;
    if (length > maxAnswerBytes) {
      throw new KnownError(`The answer exceeds ${maxAnswerBytes} bytes`, {
        kind: "upstream_invalid",
      });
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Closes the connection of an answer whose body is not read. */
function discardBody({ body }: Dispatcher.ResponseData): void {
  // Without a listener, the error that the close causes would end the process.
  body.on("error", () => undefined).destroy();
}

function headersOf(
  effect: Extract<CallEffect, { kind: "call_service" }>,
): Record<string, string> {
  const { contentType, key, traceParent } = effect;
  return {
    ...(contentType === undefined ? {} : { "content-type": contentType }),
    ...(key === null ? {} : { "idempotency-key": key }),
    ...(traceParent === undefined ? {} : { traceparent: traceParent }),
  };
}
