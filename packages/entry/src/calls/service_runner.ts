import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import { toFailure } from "@lavenderferry/errors";
import type { PlatformClient } from "@lavenderferry/platform";
import { Agent } from "undici";
import type { EntryEvent } from "../events.ts";
import { neverSent } from "../util/never_sent.ts";
import type { CallEffect } from "./call_effect.ts";

const connectTimeoutMs = 1_000;
const callTimeoutMs = 10_000;

type CallHandlers = EffectHandlers<EntryEvent, CallEffect>;

/** Runs the effects towards plain services and the calls' records. */
export class ServiceRunner {
  readonly #agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: callTimeoutMs,
    bodyTimeout: callTimeoutMs,
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
    read_record: ({ callId, key }, dispatch) => {
      this.#platform.read([key], "bookings").then(
        ([row]) => dispatch({ kind: "record_read", callId, row: row ?? null }),
        () => dispatch({ kind: "record_failed", callId, notRun: true }),
      );
    },
  };

  /** Closes all connections. */
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
      const contentType = String(response.headers["content-type"] ?? "");
      const answer = {
        status: response.statusCode,
        contentType,
        body: await response.body.text(),
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
