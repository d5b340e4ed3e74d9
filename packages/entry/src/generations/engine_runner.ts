import type { Dispatch, EffectHandlers } from "@lavenderferry/runtime";
import { createParser } from "eventsource-parser";
import type { Dispatcher } from "undici";
import { Agent } from "undici";
import { z } from "zod";
import type { EntryEvent } from "../events.ts";
import { neverSent } from "../util/never_sent.ts";
import { CacheFeed } from "./cache_feed.ts";
import type { EngineEffect } from "./generation_effect.ts";
import type { EngineFailure, EngineUsage, Token } from "./generation_event.ts";

const connectTimeoutMs = 1_000;
const headersTimeoutMs = 30_000;
const shortTimeoutMs = 2_000;

const usageSchema = z.object({
  prompt_tokens: z.number(),
  cached_tokens: z.number(),
  completion_tokens: z.number(),
  recomputed_tokens: z.number(),
  preemptions: z.number(),
}).transform((usage): EngineUsage => ({
  promptTokens: usage.prompt_tokens,
  cachedTokens: usage.cached_tokens,
  outputTokens: usage.completion_tokens,
  recomputedTokens: usage.recomputed_tokens,
  preemptions: usage.preemptions,
}));

const refusalSchema = z.object({
  error: z.object({ reason: z.string() }),
  not_started: z.boolean(),
});

const cancelSchema = z.object({ usage: usageSchema });

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

interface Choice {
  readonly text: string;
  readonly finish_reason: string | null;
}

interface Chunk {
  readonly choices: readonly Choice[];
  readonly usage?: unknown;
}

type EngineHandlers = EffectHandlers<EntryEvent, EngineEffect>;

/** Runs the effects towards engines, over HTTP with server-sent events. */
export class EngineRunner {
  readonly #agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: headersTimeoutMs,
    bodyTimeout: 0,
    keepAliveTimeout: 10_000,
  });
  readonly #attempts = new Map<string, AbortController>();
  /** Cache feeds by engine address. */
  readonly #feeds = new Map<string, CacheFeed>();

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
      void this.#follow(
        { attemptId, generationId, started: false },
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
      void this.#follow(
        { attemptId, generationId, started: true },
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
      this.#attempts.get(attemptId)?.abort();
      this.#attempts.delete(attemptId);
    },
    read_load: ({ engine, address }, dispatch) => {
      void this.#readLoad(engine, address, dispatch);
    },
    read_cache: ({ engine, address }, dispatch) => {
      void this.#readCache(engine, address, dispatch);
    },
  };

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #follow(
    attempt: Attempt,
    request: Dispatcher.RequestOptions & { readonly origin: string },
    dispatch: Dispatch<EntryEvent>,
  ): Promise<void> {
    const { attemptId, generationId } = attempt;
    const controller = new AbortController();
    this.#attempts.set(attemptId, controller);
    let failure: EngineFailure | null;
    try {
      const response = await this.#agent.request({
        ...request,
        signal: controller.signal,
      });
      failure = response.statusCode === 200
        ? await readStream(response.body, attempt, dispatch)
        : await readRefusal(response, attempt);
    } catch (error) {
      failure = failureOf(error, attempt);
    }
    const dropped = !this.#attempts.delete(attemptId);
    if (failure !== null && !dropped) {
      dispatch({ kind: "engine_failed", attemptId, generationId, failure });
    }
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
        signal: AbortSignal.timeout(shortTimeoutMs),
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
        signal: AbortSignal.timeout(shortTimeoutMs),
      });
      const report = loadSchema.parse(await response.body.json());
      dispatch({ kind: "load_reported", engine, report });
    } catch {
      dispatch({ kind: "load_failed", engine });
    }
  }

  async #readCache(
    engine: string,
    address: string,
    dispatch: Dispatch<EntryEvent>,
  ): Promise<void> {
    const feed = this.#feeds.get(address) ?? new CacheFeed();
    this.#feeds.set(address, feed);
    try {
      const response = await this.#agent.request({
        origin: `http://${address}`,
        path: `/v1/cache-events?after=${feed.after}`,
        method: "GET",
        signal: AbortSignal.timeout(shortTimeoutMs),
      });
      for (const change of feed.take(await response.body.json())) {
        dispatch({ kind: "cache_changed", engine, change });
      }
    } catch {
      this.#feeds.delete(address);
    }
  }
}

interface Attempt {
  readonly attemptId: string;
  readonly generationId: string;
  /** The generation was started by an earlier attempt. */
  readonly started: boolean;
}

/** Reads events to the end marker; `null` when the answer is whole. */
async function readStream(
  body: AsyncIterable<Buffer>,
  { attemptId, generationId }: Attempt,
  dispatch: Dispatch<EntryEvent>,
): Promise<EngineFailure | null> {
  let tokens: Token[] = [];
  let end: { finishReason: string; usage: EngineUsage } | undefined;
  let marked = false;
  const parser = createParser({
    onEvent: ({ id, data }) => {
      if (data === "[DONE]") {
        marked = true;
        return;
      }
      const { choices, usage } = JSON.parse(data) as Chunk;
      const choice = choices[0];
      if (choice === undefined) {
        return;
      }
      if (choice.finish_reason !== null) {
        end = {
          finishReason: choice.finish_reason,
          usage: usageSchema.parse(usage),
        };
      } else {
        tokens.push({ index: Number(id), text: choice.text });
      }
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (tokens.length > 0) {
      dispatch({ kind: "tokens_received", attemptId, generationId, tokens });
      tokens = [];
    }
  }
  if (end === undefined || !marked) {
    return { kind: "lost", reason: "short_answer" };
  }
  dispatch({ kind: "engine_finished", attemptId, generationId, ...end });
  return null;
}

async function readRefusal(
  response: Dispatcher.ResponseData,
  attempt: Attempt,
): Promise<EngineFailure> {
  const parsed = refusalSchema.safeParse(
    await response.body.json().catch(() => null),
  );
  if (attempt.started && response.statusCode === 404) {
    return { kind: "gone" };
  }
  if (parsed.success && parsed.data.not_started && !attempt.started) {
    return { kind: "not_started", reason: parsed.data.error.reason };
  }
  return { kind: "lost", reason: `status_${response.statusCode}` };
}

function failureOf(error: unknown, attempt: Attempt): EngineFailure {
  if (neverSent(error)) {
    return attempt.started
      ? { kind: "lost", reason: "unreachable" }
      : { kind: "not_started", reason: "unreachable" };
  }
  return { kind: "lost", reason: "connection" };
}
