import { connect } from "node:net";
import type { CloseReason } from "@lavenderferry/runtime";
import t from "tap";
import type { OperatorServerOptions } from "./operator_server.ts";
import { OperatorServer } from "./operator_server.ts";

// Node reads a body that no handler reads to its end, however small its chunks.
t.test("an endless body in small chunks closes its connection", async (t) => {
  const reasons: CloseReason[] = [];
  const connections = {
    connections: 10,
    pipelinedBytes: 131_072,
    discardedBytes: 4_194_304,
    stalledMs: 60_000,
  };
  const server = new OperatorServer(
    {
      settings: { connections },
      onConnectionClosed: (reason: CloseReason) => reasons.push(reason),
    } as unknown as OperatorServerOptions,
  );
  const port = await server.listen("127.0.0.1", 0);
  t.teardown(() => server.close());
  const socket = connect(port, "127.0.0.1").resume();
  socket.on("error", () => undefined);
  socket.write("POST /none HTTP/1.1\r\nhost: a\r\n");
  socket.write("transfer-encoding: chunked\r\n\r\n");
  const timer = setInterval(() => socket.write("1\r\nx\r\n".repeat(500)), 10);
  await new Promise<void>((resolve) => socket.once("close", () => resolve()));
  clearInterval(timer);
  t.strictSame(reasons, ["small_chunks"]);
});
