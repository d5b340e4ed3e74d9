import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import t from "tap";
import { StoreConnections } from "./store_connections.ts";

const connectionCount = 4;
const timeoutMs = 100;

// Each idle connection that is silent too cost a time-out of its own.
t.test("after a silent connection no other of that time is used", async (t) => {
  const silent = new Set<Socket>();
  const sockets = new Set<Socket>();
  const server = createServer((request, response) => {
    sockets.add(request.socket);
    if (!silent.has(request.socket)) {
      setTimeout(() => response.end("{}"), 5);
    }
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const connections = new StoreConnections(url, connectionCount);
  t.teardown(async () => {
    await connections.close();
    server.closeAllConnections();
    server.close();
  });
  const send = (limitMs = timeoutMs) =>
    connections.send({
      method: "GET",
      path: "/",
      signal: AbortSignal.timeout(limitMs),
    }, async ({ body }) => await body.json());
  const sendAll = () =>
    Promise.all(Array.from({ length: connectionCount }, () => send(5_000)));
  await sendAll();
  t.equal(sockets.size, connectionCount);
  for (const socket of sockets) {
    silent.add(socket);
  }
  await t.rejects(send(), "the first is not answered in time");
  t.strictSame(await sendAll(), Array(connectionCount).fill({}));
  t.equal(sockets.size, 2 * connectionCount, "over new connections");
});
