// A small deployment for the cases of this review: the project's store stand-in,
// relays as separate processes by the command of the deploy file, and clients.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { RowsServer } from "../../packages/standins/build/mod.js";

/** Address of all sockets. */
export const ip = "127.0.0.1";

/** Host of the routes, and the key of the tenant. */
export const host = "one.example";
export const key = "key-1";

/** Exit code of a case that could not run. */
const couldNotRun = 2;

for (const event of ["uncaughtException", "unhandledRejection"]) {
  process.on(event, (error) => {
    process.stderr.write(`${error?.stack ?? error}\n`);
    process.exit(couldNotRun);
  });
}

const root = fileURLToPath(new URL("../..", import.meta.url));

/** Resolves after a time. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Milliseconds of the steady clock. */
export function now() {
  return Math.round(performance.now());
}

/** Polls a check until it is true; `false` after the time limit. */
export async function until(check, limitMs = 15_000) {
  const end = now() + limitMs;
  while (now() < end) {
    if (await check()) {
      return true;
    }
    await sleep(20);
  }
  return false;
}

/** A record of lines, which is written to a file at the end. */
export class Record {
  #lines = [];
  #start = now();

  add(...words) {
    this.#lines.push([now() - this.#start, ...words].join(" "));
  }

  write(path) {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}

/** A route in the format of the users' pages. */
export function route(name, change) {
  return {
    name,
    host,
    prefix: `/${name}/`,
    kind: "non_idempotent",
    timeoutMs: 3_000,
    targetLatencyMs: 400,
    priority: 2,
    service: "desk",
    attempts: 1,
    public: false,
    stickySessions: false,
    resumable: false,
    ...change,
  };
}

/** A configuration as `fleetbench wire` prints it, for a small deployment. */
export function configuration(version, change = {}) {
  return {
    version,
    routes: [
      route("book", {}),
      route("look", { kind: "idempotent", attempts: 2 }),
      route("write", {
        kind: "streaming",
        service: "models",
        timeoutMs: 39_000,
        targetLatencyMs: 1_800,
        priority: 1,
        stickySessions: true,
        gapAimMs: 180,
      }),
    ],
    services: [
      {
        name: "desk",
        healthCheckPath: "/health",
        connectionLimit: 100,
        protocol: "h1",
        tls: false,
      },
      {
        name: "models",
        healthCheckPath: "/health",
        connectionLimit: 302,
        protocol: "h1",
        tls: false,
        engine: {
          slots: 32,
          kvCapacityTokens: 34_405,
          kvBytes: 96_256,
          linkMbps: 14_000,
          moves: true,
          backups: true,
          stride: 4,
          most: 12,
          pinMs: 4_000,
          holdMs: 2_000,
          handleS: 5,
          models: [{ name: "m" }],
        },
      },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "clinic", apiKeys: [key], priority: 1 }],
    ...change,
  };
}

const firstPort = 10_000;
const lastPort = 30_000;

async function isFree(port) {
  const server = createServer();
  try {
    server.listen(port, ip);
    await once(server, "listening");
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** Returns the first of some ports in a row on which nothing listens. */
export async function findPorts(count) {
  for (;;) {
    const first = firstPort +
      Math.floor(Math.random() * (lastPort - firstPort));
    const ports = Array.from({ length: count }, (_, index) => first + index);
    if ((await Promise.all(ports.map(isFree))).every(Boolean)) {
      return first;
    }
  }
}

function settingsOf(name, { store, front, internal, zone }) {
  return `nodeName = "${name}"
role = "relay"
machineClass = "front"
serves = ["front", "directory"]
ip = "${ip}"
zone = "${zone}"
region = "harju"
internalPorts = [${internal},${internal + 1}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
a = "harju"
b = "harju"
[listen]
front = "${ip}:${front}"
ready = "${ip}:${front + 1}"
directory = "${ip}:${front + 2}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = ${process.env.REVIEW_MB ?? 350}
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 3000
confirmMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configPropagationMs = 2000
downgradeSlackMs = 250
outerMs = 5000
failClosed = false
revocationMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
recoveryS = 12
passMs = 120
reuseWindowS = 7
ttl_max_s = 5
[platform]
address = "${store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 8.0
partWritesPerS = 150
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
`;
}

/** Words of the command with which the deploy file starts a relay. */
function deployedCommand() {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"/m.exec(text)[1].split(" ");
}

/** One relay as a process of its own. */
export class Relay {
  #path;
  #lines = [];

  constructor(name, { path, front }) {
    this.name = name;
    this.front = front;
    this.#path = path;
  }

  /** Decisions that the process has logged. */
  get decisions() {
    return this.#lines;
  }

  start() {
    const [command, ...words] = deployedCommand();
    const { PATH, HOME } = process.env;
    this.child = spawn(command, words, {
      cwd: root,
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        PATH,
        HOME,
        UV_USE_IO_URING: "0",
        LAVENDERFERRY_CONFIG: this.#path,
      },
    });
    const { child } = this;
    this.exited = once(child, "exit");
    const kill = () => child.kill("SIGKILL");
    process.once("exit", kill);
    child.once("exit", () => process.off("exit", kill));
    for (const output of [this.child.stdout, this.child.stderr]) {
      let rest = "";
      output.on("data", (chunk) => {
        const lines = (rest + String(chunk)).split("\n");
        rest = lines.pop();
        this.#lines.push(...lines);
      });
    }
  }

  async isReady() {
    try {
      const { status } = await call(this.front + 1, "/ready", {
        method: "GET",
        limitMs: 1_000,
      });
      return status === 200;
    } catch {
      return false;
    }
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.child.kill(name);
  }

  async end() {
    if (this.child?.exitCode === null && this.child.signalCode === null) {
      this.child.kill("SIGKILL");
      await this.exited;
    }
  }
}

/** A store, relays and whatever a case adds to them. */
export class System {
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #closers = [];
  store = new RowsServer();
  relays = [];

  async start(relayCount, { config = configuration(1), address } = {}) {
    this.address = await this.store.start();
    this.store.put("op", "config", config);
    for (let index = 1; index <= relayCount; index++) {
      await this.addRelay(`front-${index}`, { address });
    }
  }

  /** Starts a relay, without waiting until it is ready. */
  async addRelay(name, { zone = "a", address = this.address } = {}) {
    const first = await findPorts(6);
    const path = join(this.#folder, `${name}.toml`);
    const relay = new Relay(name, { path, front: first });
    const ports = { store: address, front: first, internal: first + 4, zone };
    writeFileSync(path, settingsOf(name, ports));
    relay.start();
    this.relays.push(relay);
    return relay;
  }

  /** Adds something that is closed at the end. */
  closeLater(close) {
    this.#closers.push(close);
  }

  async ready() {
    return await until(async () => {
      const ready = await Promise.all(this.relays.map((one) => one.isReady()));
      return ready.every(Boolean);
    });
  }

  async end() {
    await Promise.all(this.relays.map((relay) => relay.end()));
    for (const close of this.#closers) {
      await close();
    }
    this.store.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Sends one request. Resolves with the status, the headers, the body, whether the
 * answer is complete, and the times; status 0 if the channel ended without one.
 */
export function call(port, path, options = {}) {
  const {
    method = "POST",
    headers = {},
    body = "",
    agent = false,
    limitMs = 45_000,
    onData = () => undefined,
    signal,
  } = options;
  const sentAt = now();
  return new Promise((resolve) => {
    let text = "";
    let answer = null;
    const end = (complete, error = "") => {
      clearTimeout(timer);
      resolve({
        status: answer?.statusCode ?? 0,
        headers: answer?.headers ?? {},
        text,
        complete,
        error,
        reused: request.reusedSocket,
        sentAt,
        endedAt: now(),
      });
    };
    const request = http.request({
      host: ip,
      port,
      path,
      method,
      agent,
      headers: {
        host,
        ...method === "GET"
          ? {}
          : { "content-length": Buffer.byteLength(body) },
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      request.destroy();
      end(false, "time limit");
    }, limitMs);
    signal?.addEventListener("abort", () => {
      request.destroy();
      end(false, "cancelled");
    });
    request.on("response", (response) => {
      answer = response;
      response.setEncoding("latin1");
      response.on("data", (chunk) => {
        text += chunk;
        onData(chunk);
      });
      response.on("error", () => undefined);
      response.on("end", () => end(response.complete));
      response.on("close", () => end(response.complete, "closed"));
    });
    request.on("error", (error) => end(false, String(error.code ?? error)));
    request.end(body);
  });
}

/**
 * Whether a request from a kept channel had been passed on to a server, and its
 * channel ended without an answer.
 */
export function isLost({ status, reused, error }, runs) {
  const isClosed = status === 0 && error !== "time limit" &&
    error !== "cancelled";
  return isClosed && reused && runs.length > 0;
}

/** Headers of a client's request. */
export function clientHeaders(id, change = {}) {
  return {
    "lavenderferry-request-id": id,
    "lavenderferry-deadline-ms": "3000",
    authorization: `Bearer ${key}`,
    ...change,
  };
}

/** Headers of a client's request for a generation. */
export function generationHeaders(id, change = {}) {
  const { promptTokens = 500, maxTokens = 800, ...headers } = change;
  return clientHeaders(id, {
    "lavenderferry-deadline-ms": "39000",
    "lavenderferry-model": "m",
    "lavenderferry-token-counts": `${promptTokens},${maxTokens}`,
    "lavenderferry-prompt-prefix": `5c1e07a2:79,${hexOf(id)}:${
      promptTokens - 79
    }`,
    ...headers,
  });
}

function hexOf(text) {
  return Buffer.from(text).toString("hex").slice(-12);
}
