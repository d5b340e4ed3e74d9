import fc from "fast-check";
import t from "tap";
import {
  AttemptSender,
  sendAttempt,
  startUpstream,
} from "../fixtures/upstream_socket.ts";

const idHeaders = "id: r1\r\nseal: s\r\n";

/** Heads that Node parses and refuses to write, or that are not final. */
const unwritableHeads = {
  "a blank in a header's name": `200 OK\r\n${idHeaders}content type: a\r\n`,
  "the status 000": `000 OK\r\n${idHeaders}`,
  "a status of one digit": `7 OK\r\n${idHeaders}`,
  "a status above 599": `999 OK\r\n${idHeaders}`,
};

// Such a head ended the process, as the answer was written with an exception.
for (const [name, head] of Object.entries(unwritableHeads)) {
  for (const streaming of [false, true]) {
    const kind = streaming ? "stream" : "plain answer";
    t.test(`a ${kind} whose head has ${name} fails`, async (t) => {
      const body = streaming ? "id: 1\ndata: a\n\n" : "ok";
      const length = `content-length: ${body.length}\r\n`;
      const address = await startUpstream(t, (socket) => {
        socket.end(`HTTP/1.1 ${head}${length}\r\n${body}`);
      });
      const events = await sendAttempt(t, address, { streaming });
      t.match(events, [{ kind: "attempt_failed" }]);
    });
  }
}

/** Bytes of a head in which some are replaced, inserted or left out. */
const spoiltHeads = fc.record({
  status: fc.constantFrom("200 OK", "204 No", "404 No", "500 Oh", "599 x"),
  edits: fc.array(
    fc.record({
      position: fc.nat({ max: 90 }),
      removed: fc.nat({ max: 2 }),
      inserted: fc.constantFrom("", " ", "\t", "\0", "\x7f", "é", ":", "0"),
    }),
    { maxLength: 3 },
  ),
}).map(({ status, edits }) => {
  const intact = `HTTP/1.1 ${status}\r\n${idHeaders}content-type: text/plain` +
    `\r\nx-note: a b\r\nx-note: c\r\ncontent-length: 2\r\n\r\n`;
  return edits.reduce(
    (text, { position, removed, inserted }) =>
      text.slice(0, position) + inserted + text.slice(position + removed),
    intact,
  );
});

// An answer that was received but could not be written ended the process.
t.test("each answer that is received can be written to its caller", async (t) => {
  let received = 0;
  await fc.assert(
    fc.asyncProperty(spoiltHeads, fc.boolean(), async (head, streaming) => {
      const body = streaming ? "\n\n" : "ok";
      const address = await startUpstream(t, (socket) => {
        socket.end(Buffer.from(`${head}${body}`, "latin1"));
      });
      const sender = new AttemptSender(t);
      const events = await sender.send(address, { streaming });
      const status = await sender.forward(events);
      received += status === null ? 0 : 1;
    }),
    { numRuns: 200, seed: 41 },
  );
  t.ok(received > 20, `${received} answers were received`);
});

// An exception of an effect ended the process and all other exchanges.
t.test("an answer that cannot be written fails its own exchange", async (t) => {
  const sender = new AttemptSender(t);
  await sender.open();
  const head = { status: 0, headers: ["a b", "c"] };
  const status = await sender.forward([{
    kind: "answer_received",
    attemptId: "attempt-r1",
    exchangeId: "exchange-r1",
    answer: { ...head, body: Buffer.from("ok") },
  }]);
  t.equal(status, 502, "the caller is told that the answer is invalid");
  t.match(sender.dispatched, [{
    kind: "relaying_failed",
    exchangeId: "exchange-r1",
    effect: "send_answer",
  }]);
});
