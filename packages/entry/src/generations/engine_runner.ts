import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import type { Dispatcher } from "undici";
import { Agent } from "undici";
import { z } from "zod";
import type { EntryEvent } from "../events.ts";
import { CacheFeed } from "./cache_feed.ts";
import type { EngineEffect } from "./generation_effect.ts";
import type { Attempt } from "./engine_stream.ts";
import { EngineStream } from "./engine_stream.ts";
import { engineUsageSchema } from "./engine_usage.ts";
import type { EngineUsage } from "./generation_event.ts";

const connectTimeoutMs = 1_000;
const headersTimeoutMs = 30_000;
const requestTimeoutMs = 2_000;

const cancelSchema = z.object({ usage: engineUsageSchema });

const loadSchema = z.object({
  at: z.number(),
  running: z.number(),
  waiting: z.number(),
  memoryTokens: z.number(),
  usedTokens: z.number(),
  preemptions: z.number(),
  finished: z.number(),
  draining: z.boolean(),
  models: z.array(z.string()),
});

type EngineHandlers = EffectHandlers<EntryEvent, EngineEffect>;

/** Runs the calls to engines: HTTP, and server-sent events for output. */
export class EngineRunner {
  readonly #agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: headersTimeoutMs,
    bodyTimeout: 0,
    keepAliveTimeout: 10_000,
  });
  /**
   * Opens a connection for each generation. On a kept one, an engine may write
   * an earlier refusal again, which would count as that of the next generation.
   */
  readonly #unpooledAgent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: headersTimeoutMs,
    bodyTimeout: 0,
    pipelining: 0,
  });
  /** Connections by attempt id. */
  readonly #attempts = new Map<string, EngineStream>();
  /** Cache feeds by engine address. */
  readonly #cacheFeeds = new Map<string, CacheFeed>();

  readonly handlers: EngineHandlers = {
    start_generation: (effect, dispatch) => {
      const { request, address, attemptId } = effect;
      const { generationId, traceParent } = request;
      const body = JSON.stringify({
        request_id: generationId,
        model: request.model,
        prompt: request.prompt,
        max_tokens: request.maxTokens,
        priority: request.priority,
        stream: true,
      });
      const headers = {
        "content-type": "application/json",
        ...(traceParent === undefined ? {} : { traceparent: traceParent }),
      };
      this.#openStream(
        { attemptId, generationId, isResume: false },
        {
          origin: `http://${address}`,
          path: "/v1/completions",
          method: "POST",
          headers,
          body,
        },
        dispatch,
      );
    },
    resume_generation: (effect, dispatch) => {
      const { address, attemptId, generationId, from } = effect;
      this.#openStream(
        { attemptId, generationId, isResume: true },
        {
          origin: `http://${address}`,
          path: `/v1/completions/${generationId}?from=${from}`,
          method: "GET",
        },
        dispatch,
      );
    },
    cancel_generation: (effect, dispatch) => {
      void this.#cancel(effect.address, effect.generationId, dispatch);
    },
    drop_attempt: ({ attemptId }) => {
      this.#attempts.get(attemptId)?.drop();
      this.#attempts.delete(attemptId);
    },
    read_load: ({ engine, address }, dispatch) => {
      void this.#readLoad(engine, address, dispatch);
    },
    read_cache: ({ engine, address }, dispatch) => {
      void this.#readCache(engine, address, dispatch);
    },
  };

  /** Closes all connections, also those with calls in progress. */
  async close(): Promise<void> {
    await this.#agent.destroy();
    await this.#unpooledAgent.destroy();
  }

  #openStream(
    attempt: Attempt,
    request: Dispatcher.DispatchOptions,
    dispatch: Dispatch<EntryEvent>,
  ): void {
    const { attemptId } = attempt;
    const stream = new EngineStream(attempt, (event) => {
      if (event.kind === "engine_finished" || event.kind === "engine_failed") {
        this.#attempts.delete(attemptId);
      }
      dispatch(event);
    });
    this.#attempts.set(attemptId, stream);
    this.#unpooledAgent.dispatch(request, stream);
  }

  async #cancel(
    address: string,
    generationId: string,
    dispatch: Dispatch<EntryEvent>,
  ): Promise<void> {
    let usage: EngineUsage | null = null;
    try {
      const response = await this.#agent.request({
        origin: `http://${address}`,
        path: `/v1/completions/${generationId}`,
        method: "DELETE",
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      const parsed = cancelSchema.safeParse(await response.body.json());
      usage = parsed.success ? parsed.data.usage : null;
    } catch {
      usage = null;
    }
    dispatch({ kind: "generation_cancelled", generationId, usage });
  }

  async #readLoad(
    engine: string,
    address: string,
    dispatch: Dispatch<EntryEvent>,
  ): Promise<void> {
    try {
      const response = await this.#agent.request({
        origin: `http://${address}`,
        path: "/v1/load",
        method: "GET",
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      const report = loadSchema.parse(await response.body.json());
      dispatch({ kind: "load_reported", engine, report });
    } catch {
      dispatch({ kind: "load_report_failed", engine });
    }
  }

  async #readCache(
    engine: string,
    address: string,
    dispatch: Dispatch<EntryEvent>,
  ): Promise<void> {
    const feed = this.#cacheFeeds.get(address) ?? new CacheFeed();
    this.#cacheFeeds.set(address, feed);
    try {
      const response = await this.#agent.request({
        origin: `http://${address}`,
        path: `/v1/cache-events?after=${feed.lastSequence}`,
        method: "GET",
        signal: AbortSignal.timeout(requestTimeoutMs),
      });
      for (const change of feed.receive(await response.body.json())) {
        dispatch({ kind: "cache_changed", engine, change });
      }
    } catch {
      this.#cacheFeeds.delete(address);
    }
  }
}
