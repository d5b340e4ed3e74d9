// A model engine and a plain server, as the users' pages describe them.
import { once } from "node:events";
import http from "node:http";
import { ip, now, sleep } from "./system.js";

/** What the engines of a case ran, by the id of the request. */
export class Runs {
  /** Each entry: id, instance, startedAt, endedAt (null: at work), resumed. */
  list = [];
  /** Requests that reached an engine, also those that it did not run. */
  arrivals = [];

  begin(id, instance, { resumed, from }) {
    const run = {
      id,
      instance,
      startedAt: now(),
      endedAt: null,
      resumed,
      from,
      how: "",
    };
    this.list.push(run);
    return run;
  }

  of(id) {
    return this.list.filter((run) => run.id === id);
  }
}

const readText = async (stream) => {
  let text = "";
  for await (const chunk of stream) {
    text += String(chunk);
  }
  return text;
};

/** Listens on a free port of loopback and writes a row into the store. */
class Listed {
  rowChange = {};
  state = "ready";
  #sequence = 0;
  #beats = null;

  constructor(system, { instance, service, zone = "a", runs, slots = 32 }) {
    Object.assign(this, { system, instance, service, zone, runs, slots });
    this.born = Date.now();
    this.server = http.createServer((request, response) => {
      request.on("error", () => undefined);
      response.on("error", () => undefined);
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start(port = 0) {
    this.server.listen(port, ip);
    await once(this.server, "listening");
    this.port = this.server.address().port;
    this.address = `${ip}:${this.port}`;
    this.beat();
    this.#beats = setInterval(() => this.beat(), 1_200);
    this.system.closeLater(() => this.stop());
  }

  /** Writes its row. */
  beat() {
    this.system.store.put("servers", this.instance, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      coldRemainingMs: 0,
      born: this.born,
      sequence: ++this.#sequence,
      ...this.rowChange,
    });
  }

  stopBeats() {
    clearInterval(this.#beats);
  }

  /** Says that it leaves. */
  drain() {
    this.state = "draining";
    this.beat();
  }

  /** Removes its row. */
  unlist() {
    this.stopBeats();
    this.system.store.remove("servers", this.instance);
  }

  stop() {
    this.stopBeats();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Answers what is the same for all servers; whether that was all. */
  answerCommon(request, response) {
    if (request.url === "/health") {
      response.writeHead(this.state === "ready" ? 200 : 503, {
        "Lavenderferry-Instance-Id": this.instance,
      }).end();
      return true;
    }
    const expected = request.headers["lavenderferry-expect-instance"];
    if (request.url.startsWith("/kv") || request.url === "/report") {
      return false;
    }
    if (expected !== undefined && expected !== this.instance) {
      response.writeHead(421, { "Lavenderferry-Instance-Id": this.instance })
        .end();
      return true;
    }
    return false;
  }
}

/** A plain server, which works for some time on each request. */
export class Desk extends Listed {
  workMs = 60;
  running = 0;

  async handle(request, response) {
    if (this.answerCommon(request, response)) {
      request.resume();
      return;
    }
    const id = request.headers["lavenderferry-request-id"];
    const body = await readText(request);
    this.runs.arrivals.push({ id, instance: this.instance, at: now() });
    if (this.running >= this.slots) {
      response.writeHead(503, {
        "Lavenderferry-Request-Id": id,
        "Lavenderferry-Not-Executed": "1",
      }).end();
      return;
    }
    this.running += 1;
    const run = this.runs.begin(id, this.instance, { resumed: false });
    run.body = body;
    let open = true;
    response.on("close", () => (open = response.writableFinished));
    await sleep(this.workMs);
    this.running -= 1;
    run.endedAt = now();
    if (open) {
      run.how = "answered";
      this.answer(id, request, response);
    }
  }

  answer(id, request, response) {
    response.writeHead(200, {
      "Lavenderferry-Request-Id": id,
      "Lavenderferry-Response-Seal": `seal.${this.instance}.${id}`,
      "Content-Type": "text/plain",
    }).end(`done ${id} ${request.method} ${request.url}`);
  }
}

/** A model engine. A stream has `maxTokens` / 4 events. */
export class Engine extends Listed {
  eventMs = 20;
  /** Whether it drops a request when its channel closes. */
  drops = true;
  /** Copies kept for other engines, by request id: events so far. */
  copies = new Map();
  /** Memory by handle: the id and the events so far. */
  handles = new Map();
  active = new Map();
  memoryTokens = 34_405;
  /** Whether streams have no length and no chunks. */
  unframed = false;
  #nextHandle = 1;

  constructor(system, { peers, ...options }) {
    super(system, { service: "models", ...options });
    this.peers = peers;
    this.rowChange = {
      stage: "both",
      models: [{ name: "m", version: 1, adapters: [] }],
    };
  }

  get usedTokens() {
    return [...this.active.values()]
      .reduce((sum, run) => sum + run.prompt + 4 * run.events, 0);
  }

  get keptTokens() {
    return [...this.copies.values()]
      .reduce((sum, copy) => sum + copy.prompt + 4 * copy.events, 0);
  }

  async handle(request, response) {
    if (this.answerCommon(request, response)) {
      request.resume();
      return;
    }
    if (request.url === "/report") {
      request.resume();
      this.report(response);
      return;
    }
    if (request.url === "/kv-move") {
      await this.move(JSON.parse(await readText(request)), response);
      return;
    }
    if (request.url.startsWith("/kv-handle/")) {
      request.resume();
      this.handles.delete(decodeURIComponent(request.url.slice(11)));
      response.writeHead(200).end("{}");
      return;
    }
    await readText(request);
    this.generate(request, response);
  }

  report(response) {
    const body = JSON.stringify({
      born: this.born,
      stage: "both",
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: false,
      sequence: 1,
      waiting: 0,
      running: this.active.size,
      kvUsed: this.usedTokens + this.keptTokens,
      kvTotal: this.memoryTokens,
      handles: this.handles.size,
      pinned: 0,
      held: this.keptTokens,
      state: this.state,
      next: 0,
      runs: [...this.active.values()].map((run) => [
        run.id,
        run.prompt + 4 * run.events,
        run.events,
        5,
      ]),
    });
    response.writeHead(200, { "Content-Type": "application/json" }).end(body);
  }

  refuse(response, id) {
    response.writeHead(503, {
      "Lavenderferry-Request-Id": id,
      "Lavenderferry-Not-Executed": "1",
    }).end();
  }

  /** Returns what a request goes on from: `undefined` if that does not exist. */
  takeMemory(from) {
    const slash = from.indexOf("/");
    const address = from.slice(0, slash);
    const handle = from.slice(slash + 1);
    if (address === this.address && this.copies.has(handle)) {
      const copy = this.copies.get(handle);
      this.copies.delete(handle);
      return copy;
    }
    const source = this.peers.find((engine) => engine.address === address);
    const memory = source?.handles.get(handle);
    source?.handles.delete(handle);
    return memory;
  }

  generate(request, response) {
    const { headers } = request;
    const id = headers["lavenderferry-request-id"];
    const from = headers["kv-from"];
    this.runs.arrivals.push({ id, instance: this.instance, at: now(), from });
    const memory = from === undefined ? undefined : this.takeMemory(from);
    if (
      (from !== undefined && memory === undefined) ||
      this.active.size >= this.slots
    ) {
      this.refuse(response, id);
      return;
    }
    const [prompt, maxTokens] = headers["lavenderferry-token-counts"].split(",")
      .map(Number);
    const total = Math.ceil(maxTokens / 4);
    const last = Number(headers["last-event-id"] ?? 0);
    const entry = this.runs.begin(id, this.instance, {
      resumed: from !== undefined,
      from,
    });
    const run = {
      id,
      prompt,
      events: last,
      response,
      entry,
      stop: () => undefined,
    };
    const backup = headers["lavenderferry-kv-backup"];
    const keeper = this.peers.find((engine) => engine.address === backup);
    const copy = () => {
      if (keeper !== undefined && keeper !== this) {
        keeper.copies.set(id, { id, prompt, events: run.events });
      }
    };
    const copies = setInterval(copy, 200);
    run.stop = (how) => {
      clearInterval(timer);
      clearInterval(copies);
      this.active.delete(id);
      entry.endedAt ??= now();
      entry.how ||= how;
      if (how === "complete") {
        keeper?.copies.delete(id);
      }
    };
    this.active.set(id, run);
    if (this.unframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      "Lavenderferry-Request-Id": id,
      "Lavenderferry-Response-Seal": `seal.${this.instance}.${id}`,
      "Lavenderferry-Weight-Versions": "1",
      "Content-Type": "text/event-stream",
    });
    const timer = setInterval(() => {
      if (this.silent) {
        return;
      }
      run.events += 1;
      if (!response.destroyed) {
        response.write(`id: ${run.events}\ndata: ${id} ${run.events}\n\n`);
      }
      if (run.events >= total) {
        run.stop("complete");
        response.end();
      }
    }, this.eventMs);
    response.on("close", () => {
      if (this.drops && entry.endedAt === null) {
        run.stop("dropped");
      }
    });
  }

  async move({ id, to, last }, response) {
    const run = this.active.get(id);
    const json = { "Content-Type": "application/json" };
    if (run === undefined) {
      response.writeHead(404, json).end("{}");
      return;
    }
    if (last) {
      run.stop("moved");
      run.response.destroy();
    }
    await sleep(30);
    const handle = `h${this.#nextHandle++}`;
    const memory = { id, prompt: run.prompt, events: run.events };
    this.handles.set(handle, memory);
    const isUp = this.peers.some((engine) =>
      engine.address === to && engine.server.listening
    );
    response.writeHead(isUp ? 200 : 503, json).end(JSON.stringify({
      handle,
      createRevision: run.events,
    }));
  }

  /** Ends at once, as if its process were killed. */
  crash() {
    this.stopBeats();
    for (const run of [...this.active.values()]) {
      run.stop("crashed");
    }
    this.stop();
  }
}

/** Returns how a stream differs from what its engines made; empty: not at all. */
export function streamFault(text, id, total) {
  const events = text.split("\n\n");
  const rest = events.pop();
  if (rest !== "") {
    return `ends inside an event: ${JSON.stringify(rest.slice(0, 60))}`;
  }
  for (const [index, event] of events.entries()) {
    if (event !== `id: ${index + 1}\ndata: ${id} ${index + 1}`) {
      return `event ${index + 1} is ${JSON.stringify(event.slice(0, 60))}`;
    }
  }
  return events.length === total ? "" : `${events.length} of ${total} events`;
}
