import { connect } from "node:net";
import {
  ConnectionGuard,
  defaultConnectionLimits,
} from "@lavenderferry/runtime";
import type { Test } from "tap";
import t from "tap";
import { codec, unlimitedBudget } from "../fixtures/upstream_socket.ts";
import type { RelayEvent } from "../relay_event.ts";
import { CallerExchanges } from "./caller_exchanges.ts";
import { FrontServer } from "./front_server.ts";

/** Largest body that the server of a test accepts. */
const bodyBytes = 100_000;

/** Starts a callers' server whose events are collected. */
async function startFrontServer(t: Test) {
  const dispatched: RelayEvent[] = [];
  const exchanges = new CallerExchanges(codec, unlimitedBudget);
  const server = new FrontServer({
    codec,
    exchanges,
    budget: unlimitedBudget,
    refuses: () => false,
    guard: new ConnectionGuard({
      server: "callers",
      limits: defaultConnectionLimits,
    }),
    dispatch: (event) => dispatched.push(event),
  });
  server.applyLimits({ idleMs: 5_000, headersMs: 3_000, bodyBytes });
  await server.listen({ ip: "127.0.0.1", port: 0 });
  t.teardown(() => server.close());
  const socket = connect(server.port, "127.0.0.1");
  socket.on("error", () => undefined);
  t.teardown(() => socket.destroy());
  return { dispatched, exchanges, socket };
}

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

const requestOf = (id: string, rest = "\r\n") =>
  `POST /look/${id} HTTP/1.1\r\nhost: a\r\nid: ${id}\r\n${rest}`;

// It was dispatched as it arrived, and ran for a caller that had gone.
t.test("a pipelined request whose connection closes has not run", async (t) => {
  const { dispatched, exchanges, socket } = await startFrontServer(t);
  socket.resume().write(requestOf("1") + requestOf("2") + requestOf("3"));
  await waitUntil(() => dispatched.length === 1);
  const [first] = dispatched;
  const exchangeId = first !== undefined && "exchangeId" in first
    ? first.exchangeId
    : "";
  exchanges.handlers.send_answer({
    kind: "send_answer",
    exchangeId,
    answer: { status: 200, headers: [], body: Buffer.from("one") },
  }, () => undefined);
  await waitUntil(() => dispatched.length === 2);
  socket.destroy();
  await waitUntil(() => dispatched.length === 3);
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.strictSame(
    dispatched.map((event) =>
      event.kind === "request_received" ? event.path : event.kind
    ),
    ["/look/1", "/look/2", "caller_disconnected"],
  );
});

// It was read to its end, which may never come, before it was refused.
t.test("a body beyond the limit is refused before its end", async (t) => {
  const { dispatched, socket } = await startFrontServer(t);
  let text = "";
  socket.on("data", (bytes) => text += bytes.toString());
  const length = 3 * bodyBytes;
  socket.write(requestOf("1", `content-length: ${length}\r\n\r\n`));
  socket.write("x".repeat(2 * bodyBytes));
  await waitUntil(() => text.includes("\r\n\r\n"));
  t.match(text, /^HTTP\/1.1 413 /);
  socket.write("x".repeat(bodyBytes) + requestOf("2"));
  await waitUntil(() => dispatched.length === 1);
  t.match(dispatched, [{ path: "/look/2" }], "the connection is used again");
});
