import type { ChildProcess } from "node:child_process";
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { nodeId, nodePlacement } from "./bench_node.ts";
import type {
  HostReply,
  HostRequest,
  HostUsage,
  LearnedUpdate,
  StartedNode,
} from "./node_message.ts";

const nodesPerHost = 16;
const hostProgram = new URL("./node_host_main.js", import.meta.url);

interface Host {
  readonly child: ChildProcess;
  /** Receives the reply to the pending request for usage. */
  onUsage: ((usage: HostUsage) => void) | null;
}

/** A fleet of nodes that share a few host processes and connect over TCP. */
export class NodeFleet {
  readonly #platformUrl: string;
  readonly #hosts: Host[] = [];
  readonly #subscribers = new Set<(update: LearnedUpdate) => void>();
  readonly #pendingStarts = new Map<number, (started: StartedNode) => void>();
  readonly aliveNodes = new Set<number>();
  readonly epochByNode = new Map<number, string>();

  constructor(platformUrl: string) {
    this.#platformUrl = platformUrl;
  }

  /** Starts the hosts and nodes, and adds the nodes to the VM list. */
  async start(size: number): Promise<void> {
    for (let hostIndex = 0; hostIndex * nodesPerHost < size; hostIndex++) {
      const child = fork(fileURLToPath(hostProgram), [this.#platformUrl], {
        env: { ...process.env, UV_USE_IO_URING: "0" },
      });
      const host: Host = { child, onUsage: null };
      child.on(
        "message",
        (reply) => this.#handleReply(host, reply as HostReply),
      );
      this.#hosts.push(host);
    }
    const indexes = Array.from({ length: size }, (_, index) => index);
    await Promise.all(indexes.map((index) => this.startNode(index)));
  }

  /** Starts or restarts a node; each start has a new epoch. */
  async startNode(index: number): Promise<void> {
    const started = await new Promise<StartedNode>((resolve) => {
      this.#pendingStarts.set(index, resolve);
      this.send(index, { kind: "start", indexes: [index] });
    });
    this.aliveNodes.add(index);
    this.epochByNode.set(index, started.epoch);
    const { peers } = started;
    const id = nodeId(index);
    const vm = {
      id,
      ...nodePlacement(index),
      state: "live",
      address: peers,
      peers,
    };
    await sendControl(this.#platformUrl, "vms", vm);
  }

  /** Stops a node without notifying its peers. */
  kill(index: number): void {
    this.aliveNodes.delete(index);
    this.send(index, { kind: "kill", index });
  }

  /** Sends a request to the host of a node. */
  send(index: number, message: HostRequest): void {
    const host = this.#hosts[Math.floor(index / nodesPerHost)];
    host?.child.send(message);
  }

  /**
   * Calls the subscriber for every update that a node learns. Returns a
   * function that unsubscribes it.
   */
  subscribe(subscriber: (update: LearnedUpdate) => void): () => void {
    this.#subscribers.add(subscriber);
    return () => this.#subscribers.delete(subscriber);
  }

  /** Returns the summed usage of all hosts. */
  async measureUsage(): Promise<HostUsage> {
    const usages = await Promise.all(
      this.#hosts.map((host) =>
        new Promise<HostUsage>((resolve) => {
          host.onUsage = resolve;
          host.child.send({ kind: "measure" } satisfies HostRequest);
        })
      ),
    );
    return usages.reduce((sum, usage) => ({
      kind: "measured",
      processorSeconds: sum.processorSeconds + usage.processorSeconds,
      residentBytes: sum.residentBytes + usage.residentBytes,
      controlBytes: sum.controlBytes + usage.controlBytes,
    }));
  }

  /** Kills all hosts. */
  stop(): void {
    for (const { child } of this.#hosts) {
      child.kill("SIGKILL");
    }
  }

  #handleReply(host: Host, reply: HostReply): void {
    switch (reply.kind) {
      case "learned":
        for (const subscriber of this.#subscribers) {
          subscriber(reply);
        }
        return;
      case "started":
        this.#pendingStarts.get(reply.index)?.(reply);
        return;
      case "measured":
        host.onUsage?.(reply);
        return;
    }
  }
}

/** Sends a control request to the stand-in platform; returns its answer. */
export async function sendControl(
  platformUrl: string,
  path: string,
  body: object,
): Promise<unknown> {
  const response = await request(`${platformUrl}/control/${path}`, {
    method: "PUT",
    body: JSON.stringify(body),
  });
  return await response.body.json();
}
