import { once } from "node:events";
import { createServer, request as sendRequest } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { buffer } from "node:stream/consumers";
import type { Test } from "tap";
import t from "tap";
import { ByteBudget } from "../memory/byte_budget.ts";
import type { HeaderCodec } from "../ports.ts";
import { CallerExchanges } from "./caller_exchanges.ts";

/** Larger than the buffers of a loopback connection. */
const bodyBytes = 16_777_216;

const codec = { writeFailure: () => [] } as unknown as HeaderCodec;

/** Opens an exchange; returns it with the caller's paused answer. */
async function openExchange(t: Test, budget = new ByteBudget(Infinity)) {
  const exchanges = new CallerExchanges(codec, budget);
  const server = createServer((request, response) => {
    receive({ request, response });
  });
  let receive: (exchange: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
  }) => void = () => undefined;
  const received = new Promise<Parameters<typeof receive>[0]>((resolve) => {
    receive = resolve;
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const answer = new Promise<IncomingMessage>((resolve) => {
    sendRequest({ host: "127.0.0.1", port }, resolve)
      .on("error", () => undefined)
      .end();
  });
  const exchange = await received;
  exchanges.add("x1", {
    ...exchange,
    requestId: "r1",
    body: Buffer.from(""),
  });
  return { exchanges, answer, response: exchange.response };
}

const answerOf = (length: number) =>
  ({
    kind: "send_answer",
    exchangeId: "x1",
    answer: { status: 200, headers: [], body: Buffer.alloc(length) },
  }) as const;

t.test("an exit does not truncate answers that are being written", async (t) => {
  const { exchanges, answer } = await openExchange(t);
  exchanges.handlers.send_answer(answerOf(bodyBytes), () => undefined);
  let written = false;
  const writing = exchanges.waitUntilWritten(60_000).then(() => {
    written = true;
  });
  const message = await answer;
  await new Promise((resolve) => setImmediate(resolve));
  t.notOk(written, "the caller has not read the answer yet");
  message.resume();
  await writing;
  t.ok(written);
});

t.test("an exit does not wait for a caller that stops reading", async (t) => {
  const { exchanges, answer } = await openExchange(t);
  exchanges.handlers.send_answer(answerOf(bodyBytes), () => undefined);
  await answer;
  await t.resolves(exchanges.waitUntilWritten(10));
});

t.test("an exit does not wait without an answer", async (t) => {
  const { exchanges } = await openExchange(t);
  await t.resolves(exchanges.waitUntilWritten(60_000));
});

// Short events take many times their bytes while a caller does not read them.
t.test("events that a caller does not read count with their writes", async (t) => {
  const budget = new ByteBudget(Infinity);
  const { exchanges, answer, response } = await openExchange(t, budget);
  const events = (bytes: Buffer) =>
    exchanges.handlers.send_events({
      kind: "send_events",
      exchangeId: "x1",
      head: { status: 200, headers: [] },
      bytes,
    }, () => undefined);
  events(Buffer.alloc(1));
  await answer;
  // Fills the buffers of the connection, which the caller no longer empties.
  while (response.writableLength === 0) {
    events(Buffer.alloc(262_144));
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const before = budget.heldBytes;
  for (let event = 0; event < 1_000; event++) {
    events(Buffer.from("id: 1\n\n"));
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.ok(budget.heldBytes - before > 500_000);
  const closed = once(response, "close");
  response.destroy();
  await closed;
  t.equal(budget.heldBytes, 0);
});

// Each caller that stopped reading had a bound of its own, the process had none.
t.test("answers that callers do not read are bounded together", async (t) => {
  const budget = new ByteBudget(1.5 * bodyBytes);
  const first = await openExchange(t, budget);
  first.exchanges.handlers.send_answer(answerOf(bodyBytes), () => undefined);
  const firstAnswer = await first.answer;
  const second = await openExchange(t, budget);
  const { handlers } = second.exchanges;
  handlers.send_answer(answerOf(bodyBytes + 1), () => undefined);
  await t.rejects(buffer(await second.answer), "the larger one is cut");
  // The caller may have read all before the server learns that it is written.
  const closed = once(first.response, "close");
  const { length } = await buffer(firstAnswer);
  t.equal(length, bodyBytes, "the smaller one is read whole");
  await closed;
  t.equal(budget.heldBytes, 0);
});
