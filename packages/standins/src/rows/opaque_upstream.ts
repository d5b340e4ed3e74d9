import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { text } from "node:stream/consumers";
import { z } from "zod";
import { readJson, sendJson } from "../util/http_server.ts";
import { listenOnLoopback } from "../util/listen_on_loopback.ts";

/** Progress of one generation, which several engines may run in turn. */
interface GenerationRun {
  /** Id of the last event sent. */
  lastEventId: number;
  /** Number of starts without a KV copy to resume from. */
  starts: number;
  /** Instance that runs the generation; `null` when none does. */
  activeInstance: string | null;
  /** Number of starts and resumptions while the generation already ran. */
  overlappingStarts: number;
}

/** A request on which its upstream crashes, as it reached the upstream. */
interface CrashArrival {
  readonly requestId: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** A crash of an upstream on its crash part or its crash body. */
interface Crash {
  readonly instance: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

const moveSchema = z.object({
  id: z.string(),
  to: z.string(),
  last: z.boolean(),
});

/** Generation runs shared by all upstreams of a test. */
export class RunRegistry {
  /** KV tokens that every engine reports as held. */
  heldKvTokens = 10_000;
  readonly runs = new Map<string, GenerationRun>();
  /** All requests with a crash part, repeats included, in order. */
  readonly crashPartArrivals: CrashArrival[] = [];
  /** Requests with a crash body that were run, in order. */
  readonly crashBodyArrivals: CrashArrival[] = [];
  /** Crashes, in order. */
  readonly crashes: Crash[] = [];

  /** Returns the run of a request; creates it on first use. */
  getOrCreate(id: string): GenerationRun {
    const run = this.runs.get(id) ??
      { lastEventId: 0, starts: 0, activeInstance: null, overlappingStarts: 0 };
    this.runs.set(id, run);
    return run;
  }
}

/** Options of a stand-in upstream. */
export interface UpstreamOptions {
  readonly instance: string;
  readonly registry: RunRegistry;
  /** Events of each generation; without it, answers with a plain body. */
  readonly events?: number;
  /** Milliseconds between two events. */
  readonly eventIntervalMs?: number;
  /** Id of a prompt part; the upstream crashes before it streams an event. */
  readonly crashPart?: string;
  /** Body of a request on which the upstream crashes before it answers. */
  readonly crashBody?: string;
}

const defaultEventIntervalMs = 5;

/** A stand-in upstream with opaque answers and faults. */
export class OpaqueUpstream {
  /** Refuses requests without running them. */
  full = false;
  /** Number of requests that it refused because it was full. */
  refusals = 0;
  /** Headers that are added to all answers. */
  answerHeaders: Readonly<Record<string, string>> = {};
  /** Accepts requests and never answers them. */
  unresponsive = false;
  readonly #options: UpstreamOptions;
  readonly #server: Server;
  /** Ids whose stream is cut at the next event, after their final move. */
  readonly #movedIds = new Set<string>();

  constructor(options: UpstreamOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
  }

  /** Starts to serve on a free loopback port; returns host and port. */
  start(): Promise<string> {
    return listenOnLoopback(this.#server);
  }

  /** Simulates a crash: cuts all connections and stops listening. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { instance, events } = this.#options;
    if (request.url === "/kv-move") {
      this.#handleMove(moveSchema.parse(await readJson(request)), response);
      return;
    }
    if (request.url === "/report") {
      const { heldKvTokens } = this.#options.registry;
      const runs: readonly unknown[] = [];
      const memory = { kvUsed: heldKvTokens, kvTotal: 3 * heldKvTokens };
      sendJson(response, 200, { held: heldKvTokens, ...memory, runs });
      return;
    }
    const id = String(request.headers["lavenderferry-request-id"]);
    const hasCrashPart = this.#hasCrashPart(request);
    if (hasCrashPart) {
      const at = performance.now();
      this.#options.registry.crashPartArrivals.push({ requestId: id, at });
    }
    const expectedInstance = request.headers["lavenderferry-expect-instance"];
    if (expectedInstance !== instance) {
      response.writeHead(421, { "lavenderferry-instance-id": instance }).end();
      return;
    }
    if (this.full) {
      this.refusals += 1;
      const refusal = { "lavenderferry-not-executed": "1" };
      response.writeHead(503, { ...refusal, ...this.answerHeaders }).end();
      return;
    }
    const { crashBody } = this.#options;
    if (crashBody === undefined) {
      request.resume();
    } else if (await text(request) === crashBody) {
      this.#options.registry.crashBodyArrivals.push({
        requestId: id,
        at: performance.now(),
      });
      this.#crashAfterInterval();
      return;
    }
    if (this.unresponsive) {
      return;
    }
    const headers = {
      ...this.answerHeaders,
      "lavenderferry-request-id": id,
      "lavenderferry-response-seal": `seal-${instance}`,
    };
    if (events === undefined) {
      this.#options.registry.getOrCreate(id).starts += 1;
      response.writeHead(200, headers).end(`${instance} ${request.url ?? ""}`);
      return;
    }
    response.writeHead(200, {
      ...headers,
      "content-type": "text/event-stream",
    });
    if (hasCrashPart) {
      response.flushHeaders();
      this.#crashAfterInterval();
      return;
    }
    this.#streamGeneration(id, request, response);
  }

  /** Whether a prompt part other than the request's own is the crash part. */
  #hasCrashPart({ headers }: IncomingMessage): boolean {
    const { crashPart } = this.#options;
    const entries = String(headers["lavenderferry-prompt-prefix"] ?? "")
      .split(",");
    // The last entry belongs to the request itself.
    return crashPart !== undefined &&
      entries.slice(0, -1).some((entry) =>
        entry.trim().split(":")[0] === crashPart
      );
  }

  #crashAfterInterval(): void {
    const { instance, registry, eventIntervalMs = defaultEventIntervalMs } =
      this.#options;
    setTimeout(() => {
      if (this.#server.listening) {
        registry.crashes.push({ instance, at: performance.now() });
        this.stop();
      }
    }, eventIntervalMs);
  }

  #streamGeneration(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {
      instance,
      registry,
      events = 0,
      eventIntervalMs = defaultEventIntervalMs,
    } = this.#options;
    const run = registry.getOrCreate(id);
    const isResumed = request.headers["kv-from"] !== undefined;
    run.starts += isResumed ? 0 : 1;
    run.overlappingStarts += run.activeInstance === null ? 0 : 1;
    run.activeInstance = instance;
    let nextEventId = isResumed
      ? Number(request.headers["last-event-id"] ?? 0) + 1
      : 1;
    const end = () => {
      clearInterval(timer);
      run.activeInstance = run.activeInstance === instance
        ? null
        : run.activeInstance;
    };
    const timer = setInterval(() => {
      if (this.#movedIds.delete(id)) {
        end();
        response.destroy();
        return;
      }
      response.write(`id: ${nextEventId}\ndata: ${id} ${nextEventId}\n\n`);
      run.lastEventId = nextEventId++;
      if (nextEventId > events) {
        end();
        response.end();
      }
    }, eventIntervalMs);
    response.on("close", end);
  }

  #handleMove(
    { id, last }: z.output<typeof moveSchema>,
    response: ServerResponse,
  ): void {
    const run = this.#options.registry.getOrCreate(id);
    if (run.activeInstance !== this.#options.instance) {
      sendJson(response, 404, {});
      return;
    }
    if (last) {
      this.#movedIds.add(id);
    }
    sendJson(response, 200, {
      handle: `h-${id}`,
      createRevision: run.lastEventId,
    });
  }
}
