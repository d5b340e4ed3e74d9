import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect, createServer } from "node:net";
import type { Test } from "tap";
import t from "tap";
import { SocketDeadline } from "./socket_deadline.ts";

const timeoutMs = 20;
const busyMs = 4 * timeoutMs;

/** Opens a connection and returns both of its ends. */
async function openConnection(t: Test) {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  const accepted = once(server, "connection");
  await once(server, "listening");
  const near = connect((server.address() as AddressInfo).port, "127.0.0.1");
  const [far] = await accepted;
  t.teardown(() => {
    near.destroy();
    far.destroy();
    server.close();
  });
  return { near, far };
}

/** Blocks the process past the deadline, while bytes are waiting to be read. */
function block(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, busyMs);
}

// After a freeze an answer that had arrived was taken for one that had timed out, as
// timers fire before sockets are read.
t.test("bytes that have arrived are read before a deadline expires", async (t) => {
  const { near, far } = await openConnection(t);
  const order: string[] = [];
  near.on("data", () => order.push("read"));
  const expired = new Promise<void>((resolve) => {
    new SocketDeadline(timeoutMs, () => {
      order.push("expired");
      resolve();
    });
  });
  const signal = SocketDeadline.signal(timeoutMs);
  signal.addEventListener("abort", () => order.push("aborted"));
  // From within a callback of a socket, timers come next.
  far.once("data", () => {
    far.write("answer");
    block();
  });
  near.write("question");
  await expired;
  await new Promise((resolve) => setImmediate(resolve));
  t.strictSame(order, ["read", "expired", "aborted"]);
  t.equal(signal.reason?.name, "TimeoutError");
});

t.test("a deadline that is cleared does not expire", async (t) => {
  const deadline = new SocketDeadline(1, () => t.fail("it expired"));
  deadline.clear();
  await new Promise((resolve) => setTimeout(resolve, 2 * timeoutMs));
  t.end();
});
