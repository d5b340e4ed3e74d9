// Stand-ins for model engines and for instances of a plain service.
import { createServer } from "node:http";
import { SilentProxy } from "./silent_proxy.js";
import { readText } from "./util.js";

const heartbeatMs = 1_200;
const tokensPerEvent = 4;

/** All engines of a run by address, so that copies can be passed on. */
export const enginesByAddress = new Map();

/** An engine that registers itself in the store and answers requests. */
export class Engine {
  #store;
  #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  #heartbeat;
  #sequence = 1;
  #born = Date.now();
  state = "ready";
  /** Runs in progress by request id. */
  runs = new Map();
  /** Copies of other engines' runs: number of events by request id. */
  copies = new Map();
  /** What reached this engine, in order. */
  arrivals = [];
  /** Headers that are added to each answer. */
  extraHeaders = {};
  /** Called for each request that would run; may return a status to fail it. */
  onRun = () => null;
  /**
   * Called for each answer; may return `bytes` to send in its place, and bytes
   * to repeat after them until the caller closes (`endless`).
   */
  onAnswer = () => null;
  /** Called for each request before it runs; may refuse it. */
  onAdmit = () => null;

  constructor(store, options) {
    this.#store = store;
    this.options = {
      slots: 32,
      service: "models",
      zone: "a",
      eventMs: 28,
      prefillMs: 200,
      workMs: 20,
      models: [{ name: "m", version: 1, adapters: [] }],
      /** Whether its channels pass through a proxy. */
      proxied: false,
      ...options,
    };
    this.id = options.id;
  }

  get isModel() {
    return this.options.models !== null;
  }

  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
    if (this.options.proxied) {
      this.proxy = new SilentProxy(this.address);
      await this.proxy.start();
      this.address = this.proxy.address;
    }
    enginesByAddress.set(this.address, this);
    this.writeRow();
    this.#heartbeat = setInterval(() => this.writeRow(), heartbeatMs);
  }

  writeRow() {
    const { service, zone, slots, models } = this.options;
    this.#store.put("servers", this.id, {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots,
      state: this.state,
      coldRemainingMs: 0,
      ...(models === null ? {} : { stage: "both", models }),
      sequence: this.#sequence++,
      born: this.#born,
    });
  }

  /** Reports `draining`; the store has accepted it on return. */
  drain() {
    this.state = "draining";
    this.extraHeaders = { ...this.extraHeaders, "server-leaving": "1" };
    this.writeRow();
  }

  /** Leaves: the row is removed and the process ends. */
  leave() {
    this.crash();
    this.#store.remove("servers", this.id);
  }

  /** Ends at once, as after a crash: all channels are reset. */
  crash() {
    clearInterval(this.#heartbeat);
    this.state = "gone";
    enginesByAddress.delete(this.address);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
    }
    this.runs.clear();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request, response) {
    const { headers, method, url } = request;
    if (method === "GET" && url === "/report") {
      this.#sendJson(response, 200, this.#report());
      return;
    }
    if (method === "POST" && url === "/kv-move") {
      this.#move(JSON.parse(await readText(request)), response);
      return;
    }
    const id = headers["lavenderferry-request-id"];
    const arrival = {
      id,
      at: performance.now(),
      from: headers["kv-from"],
      tenant: headers["lavenderferry-tenant"],
      method,
      url,
      outcome: "",
    };
    this.arrivals.push(arrival);
    arrival.body = await readText(request);
    const common = { ...this.extraHeaders, "lavenderferry-request-id": id };
    if (headers["lavenderferry-expect-instance"] !== this.id) {
      arrival.outcome = "421";
      response.writeHead(421, { "lavenderferry-instance-id": this.id }).end();
      return;
    }
    const refusal = this.onAdmit(arrival, request) ??
      (this.runs.size >= this.options.slots ? {} : null);
    if (refusal !== null) {
      arrival.outcome = "refused";
      response.writeHead(503, {
        ...common,
        "lavenderferry-not-executed": "1",
        ...refusal,
      }).end();
      return;
    }
    const isResumption = headers["kv-from"] !== undefined;
    if (isResumption && !this.copies.has(id)) {
      arrival.outcome = "no copy";
      response.writeHead(503, {
        ...common,
        "lavenderferry-not-executed": "1",
      }).end();
      return;
    }
    this.copies.delete(id);
    const sealed = {
      ...common,
      "lavenderferry-response-seal": `seal.${this.id}.${id}`,
    };
    const failure = this.onRun(arrival, request);
    if (failure !== null) {
      arrival.outcome = `failed ${failure}`;
      const text = "failed\n";
      response.writeHead(failure, {
        ...sealed,
        "content-type": "text/plain",
        "content-length": text.length,
      }).end(text);
      return;
    }
    arrival.outcome = "run";
    if (this.isModel) {
      this.#stream(request, response, sealed);
    } else {
      this.#answer(request, response, sealed);
    }
  }

  #answer(request, response, sealed) {
    const id = request.headers["lavenderferry-request-id"];
    const run = { id, events: 0 };
    this.runs.set(id, run);
    run.timer = setTimeout(() => {
      this.runs.delete(id);
      const text = `${id} ran\n`;
      const headers = {
        ...sealed,
        "content-type": "text/plain",
        "content-length": text.length,
      };
      const replacement = this.onAnswer({ id, headers, text });
      if (replacement !== null) {
        sendBytes(response.socket, replacement);
        return;
      }
      response.writeHead(200, headers).end(text);
    }, this.options.workMs);
    response.on("close", () => {
      clearTimeout(run.timer);
      this.runs.delete(id);
    });
  }

  #stream(request, response, sealed) {
    const { headers } = request;
    const id = headers["lavenderferry-request-id"];
    const [prompt, most] = headers["lavenderferry-token-counts"].split(",")
      .map(Number);
    const total = Math.ceil(most / tokensPerEvent);
    const backup = headers["lavenderferry-kv-backup"];
    const run = { id, prompt, events: Number(headers["last-event-id"] ?? 0) };
    this.runs.set(id, run);
    const finish = () => {
      clearTimeout(run.timer);
      if (this.runs.get(id) === run) {
        this.runs.delete(id);
      }
    };
    response.on("close", finish);
    const step = () => {
      if (run.events === 0 || !response.headersSent) {
        response.writeHead(200, {
          ...sealed,
          "content-type": "text/event-stream",
        });
      }
      run.events += 1;
      response.write(`id: ${run.events}\ndata: ${id} ${run.events}\n\n`);
      const target = enginesByAddress.get(backup);
      if (target !== undefined && target !== this) {
        target.copies.set(id, run.events);
      }
      if (run.events >= total) {
        finish();
        target?.copies.delete(id);
        response.end();
        return;
      }
      run.timer = setTimeout(step, this.options.eventMs);
    };
    run.stop = () => {
      finish();
      response.destroy();
    };
    run.timer = setTimeout(
      step,
      headers["kv-from"] === undefined
        ? this.options.prefillMs
        : this.options.eventMs,
    );
  }

  #move({ id, to, last }, response) {
    const run = this.runs.get(id);
    const target = enginesByAddress.get(to);
    if (run === undefined) {
      this.#sendJson(response, 404, {});
      return;
    }
    if (target === undefined || target.state === "gone") {
      this.#sendJson(response, 503, {});
      return;
    }
    const { events } = run;
    if (last) {
      run.stop();
    }
    setTimeout(() => {
      target.copies.set(id, events);
      this.#sendJson(response, 200, { handle: id, createRevision: events });
    }, 50);
  }

  #report() {
    const runs = [...this.runs.values()].map(({ id, prompt, events }) => [
      id,
      (prompt ?? 0) + events * tokensPerEvent,
      events,
      5,
    ]);
    const kvUsed = runs.reduce((sum, [, tokens]) => sum + tokens, 0);
    const held = [...this.copies.values()].reduce(
      (sum, events) => sum + 3_000 + events * tokensPerEvent,
      0,
    );
    return {
      stage: "both",
      models: this.options.models ?? [],
      busy: false,
      sequence: 1,
      waiting: 0,
      running: runs.length,
      kvUsed: kvUsed + held,
      kvTotal: 34_405,
      handles: this.copies.size,
      pinned: 0,
      held,
      state: this.state,
      next: 0,
      runs,
    };
  }

  #sendJson(response, status, body) {
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": bytes.length,
    }).end(bytes);
  }
}

/** Bytes that are written at a time to a caller that gets them without end. */
const blockBytes = 65_536;

/** Sends bytes that the HTTP server would not send. */
function sendBytes(socket, { bytes, endless }) {
  if (endless === undefined) {
    socket.end(bytes);
    return;
  }
  socket.write(bytes);
  const block = endless.repeat(Math.ceil(blockBytes / endless.length));
  const pump = () => {
    if (!socket.destroyed) {
      socket.write(block, () => setImmediate(pump));
    }
  };
  pump();
}
