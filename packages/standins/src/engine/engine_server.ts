import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";
import { z } from "zod";
import { listen, readJsonOrNothing, sendJson } from "../util/http_server.ts";
import type { EngineGeneration, EngineSizes } from "./engine_model.ts";
import { EngineModel } from "./engine_model.ts";
import { EngineOrders, orderSchema } from "./engine_orders.ts";
import type { CacheEventFaults } from "./prefix_cache.ts";
import { tokenText } from "./token_text.ts";

/** What a stand-in engine is made from. */
export interface EngineOptions {
  readonly ip: string;
  readonly port: number;
  readonly models: readonly string[];
  readonly sizes: EngineSizes;
  /** Milliseconds by which the load reports lag. */
  readonly reportLagMs: number;
  /** Milliseconds after which a generation without a reader is cancelled. */
  readonly orphanMs: number;
  readonly checksFence: boolean;
  /** Base address of the weight store; without it models load at once. */
  readonly weights?: string | undefined;
  readonly cacheEvents?: CacheEventFaults;
  /** Called when the time after a reclaim notice is over. */
  readonly reclaimed?: () => void;
}

const completionSchema = z.object({
  request_id: z.string(),
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.int().min(1),
  priority: z.number().default(0),
});

const reclaimSchema = z.object({
  /** Milliseconds until the VM is taken away. */
  inMs: z.number().min(0),
});

const snapshotMs = 50;
const keepFinishedMs = 30_000;

interface Held {
  readonly generation: EngineGeneration;
  readonly readers: Map<ServerResponse, number>;
  /** Monotonic time from which nobody reads; `null` while somebody does. */
  orphanedAt: number | null;
  endedAt: number | null;
}

interface Snapshot {
  readonly taken: number;
  readonly body: object;
}

/** Serves an engine model over HTTP with server-sent events. */
export class EngineServer {
  readonly #options: EngineOptions;
  readonly #model: EngineModel;
  readonly #held = new Map<string, Held>();
  readonly #snapshots: Snapshot[] = [];
  readonly #orders: EngineOrders;
  #draining = false;
  /** Wall milliseconds at which the VM is taken away, after a notice. */
  #leavesAt: number | null = null;
  #server: Server | undefined;
  #stepTimer: NodeJS.Timeout | undefined;
  #snapshotTimer: NodeJS.Timeout | undefined;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#orders = new EngineOrders(options);
    this.#model = new EngineModel(options.sizes);
  }

  /** Starts to serve and returns the port. */
  async start(): Promise<number> {
    const application = polka()
      .post("/v1/completions", (request, response) => {
        void this.#complete(request, response);
      })
      .get("/v1/completions/:id", (request, response) => {
        const from = Number(request.query["from"] ?? 0);
        this.#resume(String(request.params["id"]), from, response);
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
        const events = this.#model.cache.eventsAfter(after, cacheEvents);
        sendJson(response, 200, { events });
      })
      .put("/v1/orders", (request, response) => {
        void this.#order(request, response);
      })
      .get("/v1/orders", (_request, response) => {
        sendJson(response, 200, { orders: this.#orders.received });
      })
      .put("/control/reclaim", (request, response) => {
        void this.#reclaim(request, response);
      });
    const { ip, port } = this.#options;
    const listening = await listen(application, ip, port);
    this.#server = listening.server;
    this.#step();
    this.#snapshotTimer = setInterval(() => this.#observe(), snapshotMs);
    return listening.port;
  }

  /** Refuses new work; resolves once the running work has been answered. */
  async drain(): Promise<void> {
    this.#draining = true;
    while ([...this.#held.values()].some(({ endedAt }) => endedAt === null)) {
      await pause(snapshotMs);
    }
    await this.#closeWhenSent();
  }

  /** Closes the server once every answer has been sent. */
  async #closeWhenSent(): Promise<void> {
    let closed = false;
    this.#server?.close(() => {
      closed = true;
    });
    while (!closed) {
      this.#server?.closeIdleConnections();
      await pause(snapshotMs);
    }
  }

  /** Stops at once. */
  close(): void {
    clearTimeout(this.#stepTimer);
    clearInterval(this.#snapshotTimer);
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  async #complete(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = completionSchema.safeParse(await readJsonOrNothing(request));
    if (!parsed.success) {
      refuse(response, 400, "bad_request");
      return;
    }
    const { request_id: id, model, max_tokens: maxTokens, ...rest } =
      parsed.data;
    const demand = { id, model, maxTokens, ...rest };
    if (this.#draining) {
      refuse(response, 503, "draining");
    } else if (!this.#orders.models.includes(model)) {
      refuse(response, 404, "unknown_model");
    } else if (!this.#model.fits(demand)) {
      refuse(response, 413, "prompt_too_long");
    } else if (this.#model.waiting >= this.#options.sizes.maxWaiting) {
      refuse(response, 503, "queue_full");
    } else if (this.#held.has(id)) {
      refuse(response, 409, "duplicate");
    } else {
      const held: Held = {
        generation: this.#model.add(demand),
        readers: new Map(),
        orphanedAt: null,
        endedAt: null,
      };
      this.#held.set(id, held);
      this.#attach(held, response, 0);
    }
  }

  #resume(id: string, from: number, response: ServerResponse): void {
    const held = this.#held.get(id);
    if (held === undefined || held.generation.state === "cancelled") {
      refuse(response, 404, "not_found");
      return;
    }
    this.#attach(held, response, from);
  }

  #attach(held: Held, response: ServerResponse, from: number): void {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    held.readers.set(response, from);
    held.orphanedAt = null;
    response.once("close", () => {
      held.readers.delete(response);
      if (held.readers.size === 0) {
        held.orphanedAt = performance.now();
      }
    });
    deliver(held);
  }

  #cancel(id: string, response: ServerResponse): void {
    const held = this.#held.get(id);
    if (held === undefined) {
      refuse(response, 404, "not_found");
      return;
    }
    this.#model.cancel(held.generation);
    this.#end(held);
    sendJson(response, 200, { usage: usageOf(held.generation) });
  }

  async #order(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = orderSchema.safeParse(await readJsonOrNothing(request));
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

  async #reclaim(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = reclaimSchema.safeParse(await readJsonOrNothing(request));
    if (!parsed.success) {
      refuse(response, 400, "bad_request");
      return;
    }
    const { inMs } = parsed.data;
    this.#draining = true;
    this.#leavesAt = Date.now() + inMs;
    setTimeout(() => this.#options.reclaimed?.(), inMs).unref();
    sendJson(response, 200, { leavesAt: this.#leavesAt });
  }

  #step(): void {
    const started = performance.now();
    const { durationMs, advanced, finished } = this.#model.step();
    const left = durationMs - (performance.now() - started);
    this.#stepTimer = setTimeout(() => {
      for (const generation of advanced) {
        this.#deliverTo(generation);
      }
      for (const generation of finished) {
        this.#endOf(generation);
      }
      this.#sweep();
      this.#step();
    }, Math.max(0, left));
  }

  #deliverTo(generation: EngineGeneration): void {
    const held = this.#held.get(generation.request.id);
    if (held !== undefined) {
      deliver(held);
    }
  }

  #endOf(generation: EngineGeneration): void {
    const held = this.#held.get(generation.request.id);
    if (held !== undefined) {
      this.#end(held);
    }
  }

  #end(held: Held): void {
    held.endedAt = performance.now();
    deliver(held);
  }

  #sweep(): void {
    const now = performance.now();
    for (const [id, held] of this.#held) {
      const { orphanedAt, endedAt } = held;
      if (endedAt !== null) {
        if (now - endedAt > keepFinishedMs) {
          this.#held.delete(id);
        }
      } else if (
        orphanedAt !== null && now - orphanedAt > this.#options.orphanMs
      ) {
        this.#model.cancel(held.generation);
        held.endedAt = now;
      }
    }
  }

  #observe(): void {
    const taken = performance.now();
    this.#snapshots.push({ taken, body: this.#load() });
    const oldest = taken - this.#options.reportLagMs - 2 * snapshotMs;
    while ((this.#snapshots[0]?.taken ?? taken) < oldest) {
      this.#snapshots.shift();
    }
  }

  #laggedLoad(): object {
    const until = performance.now() - this.#options.reportLagMs;
    const found = this.#snapshots.findLast((each) => each.taken <= until);
    const body = found?.body ?? this.#snapshots[0]?.body ?? this.#load();
    return {
      ...body,
      ...this.#orders.report,
      draining: this.#draining,
      leavesAt: this.#leavesAt,
    };
  }

  #load(): object {
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

function deliver(held: Held): void {
  const { generation, readers } = held;
  for (const [response, from] of readers) {
    let text = "";
    for (let index = from; index < generation.tokensOut; index++) {
      text += tokenEvent(generation.request.id, index);
    }
    readers.set(response, Math.max(from, generation.tokensOut));
    if (held.endedAt !== null) {
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
    : generation.tokensOut >= generation.request.maxTokens
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
    completion_tokens: generation.tokensOut,
    recomputed_tokens: generation.recomputed,
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

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
