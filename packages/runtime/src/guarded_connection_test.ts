import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import t from "tap";
import type { CloseReason } from "./connection_guard.ts";
import {
  ConnectionGuard,
  defaultConnectionLimits,
} from "./connection_guard.ts";
import { GuardedConnection } from "./guarded_connection.ts";
import { GuardedRequest, GuardedResponse } from "./guarded_messages.ts";

/** More than the kernel holds between the two ends of a connection. */
const stepBytes = 16_777_216;

const turn = () => new Promise((resolve) => setImmediate(resolve));

// The stream's count of unwritten bytes falls once a whole write is done, so that
// a large answer was cut off while its caller read it slowly but steadily.
t.test("an answer that is read slowly is not stalled", async (t) => {
  const { stalledMs } = defaultConnectionLimits;
  const reasons: CloseReason[] = [];
  const guard = new ConnectionGuard({
    server: "test",
    limits: defaultConnectionLimits,
    onClosed: (reason) => reasons.push(reason),
  });
  const server = createServer({
    IncomingMessage: GuardedRequest as typeof IncomingMessage,
    ServerResponse: GuardedResponse,
  }, (_, response) => {
    response.end(Buffer.alloc(4 * stepBytes));
  });
  const connections: GuardedConnection[] = [];
  server.on("connection", (socket) => {
    connections.push(new GuardedConnection(socket, guard));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const client = connect(port, "127.0.0.1");
  client.on("error", () => undefined);
  t.teardown(() => {
    client.destroy();
    server.close();
  });
  client.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await once(client, "readable");
  client.on("data", () => undefined);
  let now = performance.now();
  const check = () => {
    now += stalledMs;
    connections[0]?.closeIfStalled(now);
  };
  for (let steps = 0; steps < 3; steps++) {
    client.resume();
    const wanted = client.bytesRead + stepBytes;
    while (client.bytesRead < wanted && !client.closed) {
      await turn();
    }
    client.pause();
    check();
  }
  t.strictSame(reasons, []);
  check();
  check();
  t.strictSame(reasons, ["stalled"], "an answer that is not read is");
});
