import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { PlatformClient } from "@lavenderferry/platform";
import { BenchNode } from "./bench_node.ts";
import type { HostReply, HostRequest } from "./node_message.ts";

/** Runs fleet nodes in one process, on the driver's word. */
const url = process.argv[2] ?? "";
const platformPort = Number(new URL(url).port);
const platform = new PlatformClient({ url });
const nodes = new Map<number, BenchNode>();
const sockets = new Set<Socket>();
let closedBytes = 0;

function tell(reply: HostReply): void {
  process.send?.(reply);
}

function bytesOf(socket: Socket): number {
  return socket.remotePort === platformPort
    ? 0
    : socket.bytesRead + socket.bytesWritten;
}

function watch(message: unknown): void {
  const { socket } = message as { readonly socket: Socket };
  sockets.add(socket);
  let last = 0;
  const timer = setInterval(() => (last = bytesOf(socket)), 1_000);
  socket.once("close", () => {
    clearInterval(timer);
    closedBytes += last;
    sockets.delete(socket);
  });
}

async function start(index: number): Promise<void> {
  const node = new BenchNode({ index, platform, tell });
  nodes.set(index, node);
  const peers = await node.start();
  tell({ kind: "started", index, peers, epoch: node.epoch });
}

function measure(): void {
  const { user, system } = process.cpuUsage();
  const open = [...sockets].reduce((sum, each) => sum + bytesOf(each), 0);
  tell({
    kind: "measured",
    processor: (user + system) / 1e6,
    residentBytes: process.memoryUsage.rss(),
    controlBytes: closedBytes + open,
  });
}

function handle(request: HostRequest): void {
  switch (request.kind) {
    case "start":
      for (const index of request.indexes) {
        void start(index);
      }
      return;
    case "kill":
      nodes.get(request.index)?.kill();
      nodes.delete(request.index);
      return;
    case "mark":
      nodes.get(request.index)?.mark(request.name);
      return;
    case "configure":
      nodes.get(request.index)?.configure(request.version);
      return;
    case "measure":
      measure();
      return;
  }
}

subscribe("net.client.socket", watch);
subscribe("net.server.socket", watch);
process.on("message", (message) => handle(message as HostRequest));
process.on("disconnect", () => process.exit(0));
