import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";
import { z } from "zod";
import { listen, sendJson, tryReadJson } from "../util/http_server.ts";
import type { EngineGeneration, EngineSizes } from "./engine_model.ts";
import { EngineModel } from "./engine_model.ts";
import { EngineOrders, orderSchema } from "./engine_orders.ts";
import type { CacheEventFaults } from "./prefix_cache.ts";
import { tokenText } from "./token_text.ts";

/** Options of a stand-in engine. */
export interface EngineOptions {
  readonly ip: string;
  readonly port: number;
  readonly models: readonly string[];
  readonly sizes: EngineSizes;
  /** Age of the load that is reported, in milliseconds. */
  readonly reportLagMs: number;
  /** Milliseconds without a reader after which a generation is cancelled. */
  readonly orphanTimeoutMs: number;
  /** Whether orders with a fence below the current one are refused. */
  readonly checksFence: boolean;
  /** Base URL of the weight store; without it, models load at once. */
  readonly weightStoreUrl?: string | undefined;
  readonly cacheEvents?: CacheEventFaults;
  /** Called when the period of a reclaim notice has passed. */
  readonly onReclaimed?: () => void;
}

const completionSchema = z.object({
  request_id: z.string(),
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.int().min(1),
  priority: z.number().default(0),
});

const reclaimSchema = z.object({
  /** Milliseconds until the VM is reclaimed. */
  inMs: z.number().min(0),
});

const snapshotIntervalMs = 50;
const endedRetentionMs = 30_000;

interface GenerationSession {
  readonly generation: EngineGeneration;
  /** Index of the next token to send, by the reader's response. */
  readonly readers: Map<ServerResponse, number>;
  /** Monotonic milliseconds when the last reader left; `null` with readers. */
  orphanedAt: number | null;
  /** Monotonic milliseconds of the end; `null` while waiting or running. */
  endedAt: number | null;
}

interface LoadSnapshot {
  /** Monotonic milliseconds. */
  readonly takenAt: number;
  readonly body: object;
}

/** Serves an engine model over HTTP with server-sent events. */
export class EngineServer {
  readonly #options: EngineOptions;
  readonly #model: EngineModel;
  readonly #sessions = new Map<string, GenerationSession>();
  readonly #loadSnapshots: LoadSnapshot[] = [];
  readonly #orders: EngineOrders;
  #draining = false;
  /** Wall-clock milliseconds of the reclaim; `null` without a notice. */
  #reclaimAt: number | null = null;
  #server: Server | undefined;
  #stepTimer: NodeJS.Timeout | undefined;
  #snapshotTimer: NodeJS.Timeout | undefined;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#orders = new EngineOrders(options);
    this.#model = new EngineModel(options.sizes);
  }

  /** Starts to serve and to compute steps; returns the port. */
  async start(): Promise<number> {
    const application = polka()
      .post("/v1/completions", (request, response) => {
        void this.#createCompletion(request, response);
      })
      .get("/v1/completions/:id", (request, response) => {
        const firstIndex = Number(request.query["from"] ?? 0);
        this.#resume(String(request.params["id"]), firstIndex, response);
      })
      .delete("/v1/completions/:id", (request, response) => {
        this.#cancel(String(request.params["id"]), response);
      })
      .get("/v1/load", (_request, response) => {
        sendJson(response, 200, this.#laggedLoad());
      })
      .get("/v1/cache-events", (request, response) => {
        const after = Number(request.query["after"] ?? 0);
        const { cacheEvents } = this.#options;
        const events = this.#model.prefixCache.eventsAfter(after, cacheEvents);
        sendJson(response, 200, { events });
      })
      .put("/v1/orders", (request, response) => {
        void this.#receiveOrder(request, response);
      })
      .get("/v1/orders", (_request, response) => {
        sendJson(response, 200, { orders: this.#orders.received });
      })
      .put("/control/reclaim", (request, response) => {
        void this.#scheduleReclaim(request, response);
      });
    const { ip, port } = this.#options;
    const listening = await listen(application, ip, port);
    this.#server = listening.server;
    this.#runStep();
    this.#snapshotTimer = setInterval(
      () => this.#recordLoad(),
      snapshotIntervalMs,
    );
    return listening.port;
  }

  /**
   * Refuses new generations; resolves once the accepted ones have ended and
   * every response has been sent.
   */
  async drain(): Promise<void> {
    this.#draining = true;
    while (
      [...this.#sessions.values()].some(({ endedAt }) => endedAt === null)
    ) {
      await delay(snapshotIntervalMs);
    }
    await this.#closeWhenSent();
  }

  /** Closes the server; resolves once every response has been sent. */
  async #closeWhenSent(): Promise<void> {
    let closed = false;
    this.#server?.close(() => {
      closed = true;
    });
    while (!closed) {
      this.#server?.closeIdleConnections();
      await delay(snapshotIntervalMs);
    }
  }

  /** Stops at once and closes all connections. */
  close(): void {
    clearTimeout(this.#stepTimer);
    clearInterval(this.#snapshotTimer);
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  async #createCompletion(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = completionSchema.safeParse(await tryReadJson(request));
    if (!parsed.success) {
      refuse(response, 400, "bad_request");
      return;
    }
    const { request_id: id, model, max_tokens: maxTokens, ...rest } =
      parsed.data;
    const generationRequest = { id, model, maxTokens, ...rest };
    if (this.#draining) {
      refuse(response, 503, "draining");
    } else if (!this.#orders.models.includes(model)) {
      refuse(response, 404, "unknown_model");
    } else if (!this.#model.fits(generationRequest)) {
      refuse(response, 413, "prompt_too_long");
    } else if (this.#model.waiting >= this.#options.sizes.maxWaiting) {
      refuse(response, 503, "queue_full");
    } else if (this.#sessions.has(id)) {
      refuse(response, 409, "duplicate");
    } else {
      const session: GenerationSession = {
        generation: this.#model.add(generationRequest),
        readers: new Map(),
        orphanedAt: null,
        endedAt: null,
      };
      this.#sessions.set(id, session);
      this.#attach(session, response, 0);
    }
  }

  #resume(id: string, firstIndex: number, response: ServerResponse): void {
    const session = this.#sessions.get(id);
    if (session === undefined || session.generation.state === "cancelled") {
      refuse(response, 404, "not_found");
      return;
    }
    this.#attach(session, response, firstIndex);
  }

  #attach(
    session: GenerationSession,
    response: ServerResponse,
    firstIndex: number,
  ): void {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    session.readers.set(response, firstIndex);
    session.orphanedAt = null;
    response.once("close", () => {
      session.readers.delete(response);
      if (session.readers.size === 0) {
        session.orphanedAt = performance.now();
      }
    });
    sendPendingTokens(session);
  }

  #cancel(id: string, response: ServerResponse): void {
    const session = this.#sessions.get(id);
    if (session === undefined) {
      refuse(response, 404, "not_found");
      return;
    }
    this.#model.cancel(session.generation);
    this.#endSession(session);
    sendJson(response, 200, { usage: usageOf(session.generation) });
  }

  async #receiveOrder(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = orderSchema.safeParse(await tryReadJson(request));
    if (!parsed.success) {
      refuse(response, 400, "bad_request");
      return;
    }
    if (!this.#orders.accept(parsed.data)) {
      refuse(response, 409, "old_fence");
      return;
    }
    sendJson(response, 200, this.#orders.report);
  }

  async #scheduleReclaim(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = reclaimSchema.safeParse(await tryReadJson(request));
    if (!parsed.success) {
      refuse(response, 400, "bad_request");
      return;
    }
    const { inMs } = parsed.data;
    this.#draining = true;
    this.#reclaimAt = Date.now() + inMs;
    setTimeout(() => this.#options.onReclaimed?.(), inMs).unref();
    sendJson(response, 200, { leavesAt: this.#reclaimAt });
  }

  #runStep(): void {
    const startedAt = performance.now();
    const { durationMs, advanced, finished } = this.#model.step();
    const remainingMs = durationMs - (performance.now() - startedAt);
    this.#stepTimer = setTimeout(() => {
      for (const generation of advanced) {
        this.#sendTokens(generation);
      }
      for (const generation of finished) {
        this.#finish(generation);
      }
      this.#expireSessions();
      this.#runStep();
    }, Math.max(0, remainingMs));
  }

  #sendTokens(generation: EngineGeneration): void {
    const session = this.#sessions.get(generation.request.id);
    if (session !== undefined) {
      sendPendingTokens(session);
    }
  }

  #finish(generation: EngineGeneration): void {
    const session = this.#sessions.get(generation.request.id);
    if (session !== undefined) {
      this.#endSession(session);
    }
  }

  #endSession(session: GenerationSession): void {
    session.endedAt = performance.now();
    sendPendingTokens(session);
  }

  #expireSessions(): void {
    const now = performance.now();
    for (const [id, session] of this.#sessions) {
      const { orphanedAt, endedAt } = session;
      if (endedAt !== null) {
        if (now - endedAt > endedRetentionMs) {
          this.#sessions.delete(id);
        }
      } else if (
        orphanedAt !== null && now - orphanedAt > this.#options.orphanTimeoutMs
      ) {
        this.#model.cancel(session.generation);
        session.endedAt = now;
      }
    }
  }

  #recordLoad(): void {
    const takenAt = performance.now();
    this.#loadSnapshots.push({ takenAt, body: this.#currentLoad() });
    const oldestNeededAt = takenAt - this.#options.reportLagMs -
      2 * snapshotIntervalMs;
    while ((this.#loadSnapshots[0]?.takenAt ?? takenAt) < oldestNeededAt) {
      this.#loadSnapshots.shift();
    }
  }

  #laggedLoad(): object {
    const latestTakenAt = performance.now() - this.#options.reportLagMs;
    const snapshot = this.#loadSnapshots.findLast((candidate) =>
      candidate.takenAt <= latestTakenAt
    );
    const body = snapshot?.body ?? this.#loadSnapshots[0]?.body ??
      this.#currentLoad();
    return {
      ...body,
      ...this.#orders.report,
      draining: this.#draining,
      leavesAt: this.#reclaimAt,
    };
  }

  #currentLoad(): object {
    return {
      at: Date.now(),
      running: this.#model.running,
      waiting: this.#model.waiting,
      memoryTokens: this.#options.sizes.memoryTokens,
      usedTokens: this.#model.usedTokens,
      preemptions: this.#model.preemptions,
      finished: this.#model.finished,
    };
  }
}

function sendPendingTokens(session: GenerationSession): void {
  const { generation, readers } = session;
  for (const [response, nextIndex] of readers) {
    let text = "";
    for (let index = nextIndex; index < generation.generatedTokens; index++) {
      text += tokenEvent(generation.request.id, index);
    }
    readers.set(response, Math.max(nextIndex, generation.generatedTokens));
    if (session.endedAt !== null) {
      response.end(text + endEvents(generation));
    } else if (text !== "") {
      response.write(text);
    }
  }
}

function tokenEvent(id: string, index: number): string {
  const choice = { index: 0, text: tokenText(id, index), finish_reason: null };
  return `id: ${index}\ndata: ${JSON.stringify({ id, choices: [choice] })}\n\n`;
}

function endEvents(generation: EngineGeneration): string {
  const reason = generation.state === "cancelled"
    ? "cancelled"
    : generation.generatedTokens >= generation.request.maxTokens
    ? "length"
    : "stop";
  const choice = { index: 0, text: "", finish_reason: reason };
  const body = {
    id: generation.request.id,
    choices: [choice],
    usage: usageOf(generation),
  };
  return `data: ${JSON.stringify(body)}\n\ndata: [DONE]\n\n`;
}

function usageOf(generation: EngineGeneration): object {
  return {
    prompt_tokens: generation.promptTokens,
    cached_tokens: generation.cachedTokens,
    completion_tokens: generation.generatedTokens,
    recomputed_tokens: generation.recomputedTokens,
    preemptions: generation.preemptions,
  };
}

function refuse(
  response: ServerResponse,
  status: number,
  reason: string,
): void {
  sendJson(response, status, { error: { reason }, not_started: true });
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
