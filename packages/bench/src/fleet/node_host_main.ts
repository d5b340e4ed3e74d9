import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { PlatformClient } from "@lavenderferry/platform";
import { BenchNode } from "./bench_node.ts";
import type { HostReply, HostRequest } from "./node_message.ts";

/** Runs fleet nodes in one process, at the requests of the driver. */
const platformUrl = process.argv[2] ?? "";
const platformPort = Number(new URL(platformUrl).port);
const platform = new PlatformClient({ url: platformUrl });
const nodes = new Map<number, BenchNode>();
const sockets = new Set<Socket>();
let closedBytes = 0;

function sendReply(reply: HostReply): void {
  process.send?.(reply);
}

/** Returns the bytes of a connection between nodes; 0 for the platform's. */
function controlBytesOf(socket: Socket): number {
  return socket.remotePort === platformPort
    ? 0
    : socket.bytesRead + socket.bytesWritten;
}

function trackSocket(message: unknown): void {
  const { socket } = message as { readonly socket: Socket };
  sockets.add(socket);
  let lastBytes = 0;
  const timer = setInterval(() => (lastBytes = controlBytesOf(socket)), 1_000);
  socket.once("close", () => {
    clearInterval(timer);
    closedBytes += lastBytes;
    sockets.delete(socket);
  });
}

async function startNode(index: number): Promise<void> {
  const node = new BenchNode({ index, platform, onUpdate: sendReply });
  nodes.set(index, node);
  const peers = await node.start();
  sendReply({ kind: "started", index, peers, epoch: node.epoch });
}

function sendUsage(): void {
  const { user, system } = process.cpuUsage();
  const openBytes = [...sockets].reduce(
    (sum, socket) => sum + controlBytesOf(socket),
    0,
  );
  sendReply({
    kind: "measured",
    processorSeconds: (user + system) / 1e6,
    residentBytes: process.memoryUsage.rss(),
    controlBytes: closedBytes + openBytes,
  });
}

function handleRequest(request: HostRequest): void {
  switch (request.kind) {
    case "start":
      for (const index of request.indexes) {
        void startNode(index);
      }
      return;
    case "kill":
      nodes.get(request.index)?.kill();
      nodes.delete(request.index);
      return;
    case "mark":
      nodes.get(request.index)?.markDraining(request.name);
      return;
    case "configure":
      nodes.get(request.index)?.applyConfiguration(request.version);
      return;
    case "measure":
      sendUsage();
      return;
  }
}

subscribe("net.client.socket", trackSocket);
subscribe("net.server.socket", trackSocket);
process.on("message", (message) => handleRequest(message as HostRequest));
process.on("disconnect", () => process.exit(0));
