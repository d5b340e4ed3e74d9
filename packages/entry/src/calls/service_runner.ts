import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import { KnownError, toFailure } from "@lavenderferry/errors";
import type { PlatformClient } from "@lavenderferry/platform";
import type { Dispatcher } from "undici";
import { Agent } from "undici";
import type { EntryEvent } from "../events.ts";
import { neverSent } from "../util/never_sent.ts";
import type { CallEffect } from "./call_effect.ts";

const connectTimeoutMs = 1_000;
const callTimeoutMs = 10_000;
const maxAnswerBytes = 1_048_576;
/** Statuses whose answers have no body. */
const bodiless: readonly number[] = [204, 304];

type CallHandlers = EffectHandlers<EntryEvent, CallEffect>;

/** Runs the effects towards plain services and the calls' records. */
export class ServiceRunner {
  readonly #agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: callTimeoutMs,
    bodyTimeout: callTimeoutMs,
  });
  /**
   * Opens a connection for each call that may not be repeated: a kept one can
   * be closed by the service while the call is sent, which leaves it unknown.
   */
  readonly #freshAgent = new Agent({
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

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
    await this.#freshAgent.destroy();
  }

  async #call(
    effect: Extract<CallEffect, { kind: "call_service" }>,
    dispatch: Dispatch<EntryEvent>,
  ): Promise<void> {
    const { callId, upstream, address, method, path, body, key } = effect;
    const agent = key === null ? this.#agent : this.#freshAgent;
    try {
      const response = await agent.request({
        origin: `http://${address}`,
        path,
        method: method as "POST",
        headers: headersOf(effect),
        body: method === "GET" ? null : body,
      });
      const contentType = String(response.headers["content-type"] ?? "");
      const answer = {
        status: response.statusCode,
        contentType,
        body: await readWhole(response),
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

/** Reads a body whose end can be checked, up to a bound. */
async function readWhole(response: Dispatcher.ResponseData): Promise<string> {
  const { headers, body, statusCode } = response;
  const framed = headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  if (!framed && !bodiless.includes(statusCode)) {
    body.destroy();
    throw new KnownError("The answer states no length", {
      kind: "upstream_invalid",
    });
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
