import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import {
  ConnectionGuard,
  defaultConnectionLimits,
} from "@lavenderferry/runtime";
import type { Test } from "tap";
import t from "tap";
import { codec } from "../fixtures/upstream_socket.ts";
import { ByteBudget } from "../memory/byte_budget.ts";
import type { RelayEvent } from "../relay_event.ts";
import { CallerExchanges } from "./caller_exchanges.ts";
import { FrontServer } from "./front_server.ts";
import { HeldRequest } from "./held_request.ts";

/** Starts a callers' server with a budget, and connects to it. */
async function startServer(t: Test, limitBytes: number) {
  const dispatched: RelayEvent[] = [];
  const budget = new ByteBudget(limitBytes);
  const exchanges = new CallerExchanges(codec, budget);
  const server = new FrontServer({
    codec,
    exchanges,
    budget,
    refuses: () => false,
    guard: new ConnectionGuard({
      server: "callers",
      limits: defaultConnectionLimits,
      openAccount: (end, hasStarted) => budget.open(end, hasStarted),
      handlerAccounts: true,
    }),
    dispatch: (event) => dispatched.push(event),
  });
  server.applyLimits({ idleMs: 5_000, headersMs: 3_000, bodyBytes: 10_000 });
  await server.listen({ ip: "127.0.0.1", port: 0 });
  t.teardown(() => server.close());
  const open = () => {
    const socket = connect(server.port, "127.0.0.1");
    socket.on("error", () => undefined);
    t.teardown(() => socket.destroy());
    return { socket, received: collect(socket) };
  };
  return { budget, dispatched, exchanges, open };
}

/** Collects what a socket receives; its end is written as a text. */
function collect(socket: Socket): { text: string } {
  const received = { text: "" };
  socket.on("data", (bytes) => received.text += bytes.toString());
  socket.on("close", () => received.text += "(closed)");
  return received;
}

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

const fields = (count: number) => "x: y\r\n".repeat(count);
const headOf = (fieldCount: number, last: string) =>
  `POST /a HTTP/1.1\r\nhost: a\r\n${fields(fieldCount)}${last}\r\n\r\n`;

// The head of a refused request stayed until its body was complete, uncounted.
t.test("a request is held until its answer and its body have ended", async (t) => {
  const { budget, open } = await startServer(t, 1_000_000);
  const { socket, received } = open();
  socket.write(headOf(500, "content-length: 20000"));
  await waitUntil(() => budget.heldBytes > 36_000);
  socket.write("b".repeat(15_000));
  await waitUntil(() => received.text.includes("413"));
  t.ok(budget.heldBytes > 36_000, "more of the body may follow");
  socket.write("b".repeat(5_000));
  await waitUntil(() => budget.heldBytes === 0);
  t.notOk(received.text.includes("closed"), "the connection is kept");
});

t.test("a dispatched request is held until its answer has ended", async (t) => {
  const { budget, dispatched, exchanges, open } = await startServer(t, 1e6);
  const { socket, received } = open();
  socket.write(`${headOf(500, "content-length: 4")}body`);
  await waitUntil(() => dispatched.length > 0);
  t.ok(budget.heldBytes > 36_000);
  const [event] = dispatched;
  const exchangeId = event?.kind === "request_received" ? event.exchangeId : "";
  exchanges.handlers.send_answer({
    kind: "send_answer",
    exchangeId,
    answer: { status: 200, headers: [], body: Buffer.from("ok") },
  }, () => undefined);
  await waitUntil(() => received.text.includes("ok"));
  await waitUntil(() => budget.heldBytes === 0);
});

t.test("at the limit, a request without its body is refused", async (t) => {
  const { budget, dispatched, open } = await startServer(t, 50_000);
  const large = open();
  large.socket.write(headOf(500, "content-length: 4"));
  await waitUntil(() => budget.heldBytes > 36_000);
  const small = open();
  small.socket.write(headOf(200, "content-length: 4"));
  await waitUntil(() => large.received.text.includes("closed"));
  t.match(large.received.text, /^HTTP\/1.1 429/);
  t.match(large.received.text.toLowerCase(), "connection: close");
  t.match(large.received.text, `"notRun":true`);
  small.socket.write("body");
  await waitUntil(() => dispatched.length > 0);
  t.match(dispatched, [{ kind: "request_received" }], "the other goes on");
});

t.test("at the limit, the reducer decides on a dispatched request", async (t) => {
  const { dispatched, open } = await startServer(t, 50_000);
  open().socket.write(`${headOf(500, "content-length: 4")}body`);
  await waitUntil(() => dispatched.length === 1);
  open().socket.write(headOf(200, "content-length: 4"));
  await waitUntil(() => dispatched.length === 2);
  const [received, exceeded] = dispatched;
  t.match(exceeded, { kind: "memory_exceeded" });
  t.match(received, {
    exchangeId: exceeded?.kind === "memory_exceeded" ? exceeded.exchangeId : "",
  });
});

t.test("at the limit, a refused request loses its connection", async (t) => {
  const { budget, open } = await startServer(t, 50_000);
  const refused = open();
  refused.socket.write(headOf(500, "content-length: 20000"));
  refused.socket.write("b".repeat(15_000));
  await waitUntil(() => refused.received.text.includes("413"));
  open().socket.write(headOf(200, "content-length: 4"));
  await waitUntil(() => refused.received.text.includes("closed"));
  t.ok(budget.heldBytes < 50_000);
});

// Such a request counted as one that has not run, and its answer was cut first.
t.test("a request whose answer is being written does not give way to a crowd", async (t) => {
  const budget = new ByteBudget(80_000);
  const ended: string[] = [];
  const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      const held = new HeldRequest({
        request,
        response,
        budget,
        // As of an exchange that has ended.
        hasStarted: () => false,
        end: (phase) => ended.push(phase),
      });
      held.take();
      response.end(Buffer.alloc(50_000_000));
      for (const name of ["first", "second"]) {
        budget.open(() => ended.push(name), () => false).set(30_000);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1").pause();
  t.teardown(() => socket.destroy());
  socket.write(`${headOf(500, "content-length: 4")}body`);
  await waitUntil(() => ended.length > 0);
  t.strictSame(ended, ["first"]);
});

// The body stayed, and counted, for as long as the rest of it was discarded.
t.test("the body of a request that is too large is not kept", async (t) => {
  const { budget, open } = await startServer(t, 1_000_000);
  const { socket, received } = open();
  socket.write(headOf(10, "content-length: 40000"));
  for (let sent = 0; sent < 12; sent++) {
    socket.write("b".repeat(1_000));
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  await waitUntil(() => received.text.includes("413"));
  t.ok(budget.heldBytes < 2_000, `${budget.heldBytes} bytes are held`);
});
