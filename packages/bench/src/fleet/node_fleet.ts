import type { ChildProcess } from "node:child_process";
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { nodeId, placeOf } from "./bench_node.ts";
import type {
  HostReply,
  HostRequest,
  Learned,
  Measured,
  Started,
} from "./node_message.ts";

const nodesPerHost = 16;
const hostProgram = new URL("./node_host_main.js", import.meta.url);

interface Host {
  readonly child: ChildProcess;
  measured: ((measured: Measured) => void) | null;
}

/** A fleet of nodes in few processes, over real connections. */
export class NodeFleet {
  readonly #platform: string;
  readonly #hosts: Host[] = [];
  readonly #watchers = new Set<(learned: Learned) => void>();
  readonly #starting = new Map<number, (started: Started) => void>();
  readonly alive = new Set<number>();
  readonly epochs = new Map<number, string>();

  constructor(platform: string) {
    this.#platform = platform;
  }

  /** Starts nodes and registers them in the platform's list. */
  async start(size: number): Promise<void> {
    for (let host = 0; host * nodesPerHost < size; host++) {
      const child = fork(fileURLToPath(hostProgram), [this.#platform], {
        env: { ...process.env, UV_USE_IO_URING: "0" },
      });
      const entry: Host = { child, measured: null };
      child.on("message", (reply) => this.#take(entry, reply as HostReply));
      this.#hosts.push(entry);
    }
    const indexes = Array.from({ length: size }, (_, index) => index);
    await Promise.all(indexes.map((index) => this.startNode(index)));
  }

  /** Starts one node, or starts it again as a new run. */
  async startNode(index: number): Promise<void> {
    const started = await new Promise<Started>((resolve) => {
      this.#starting.set(index, resolve);
      this.send(index, { kind: "start", indexes: [index] });
    });
    this.alive.add(index);
    this.epochs.set(index, started.epoch);
    const { peers } = started;
    const id = nodeId(index);
    const vm = { id, ...placeOf(index), state: "live", address: peers, peers };
    await control(this.#platform, "vms", vm);
  }

  /** Ends a node without a word. */
  kill(index: number): void {
    this.alive.delete(index);
    this.send(index, { kind: "kill", index });
  }

  /** Sends a request to the host of a node. */
  send(index: number, message: HostRequest): void {
    const host = this.#hosts[Math.floor(index / nodesPerHost)];
    host?.child.send(message);
  }

  /** Calls back for everything that a node learns. */
  watch(watcher: (learned: Learned) => void): () => void {
    this.#watchers.add(watcher);
    return () => this.#watchers.delete(watcher);
  }

  /** Sums up what all hosts have used. */
  async measure(): Promise<Measured> {
    const all = await Promise.all(
      this.#hosts.map((host) =>
        new Promise<Measured>((resolve) => {
          host.measured = resolve;
          host.child.send({ kind: "measure" } satisfies HostRequest);
        })
      ),
    );
    return all.reduce((sum, each) => ({
      kind: "measured",
      processor: sum.processor + each.processor,
      residentBytes: sum.residentBytes + each.residentBytes,
      controlBytes: sum.controlBytes + each.controlBytes,
    }));
  }

  /** Ends all hosts. */
  stop(): void {
    for (const { child } of this.#hosts) {
      child.kill("SIGKILL");
    }
  }

  #take(host: Host, reply: HostReply): void {
    switch (reply.kind) {
      case "learned":
        for (const watcher of this.#watchers) {
          watcher(reply);
        }
        return;
      case "started":
        this.#starting.get(reply.index)?.(reply);
        return;
      case "measured":
        host.measured?.(reply);
        return;
    }
  }
}

/** Sends a control message to the platform. */
export async function control(
  platform: string,
  path: string,
  body: object,
): Promise<unknown> {
  const response = await request(`${platform}/control/${path}`, {
    method: "PUT",
    body: JSON.stringify(body),
  });
  return await response.body.json();
}
