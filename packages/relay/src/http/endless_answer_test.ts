import type { Socket } from "node:net";
import t from "tap";
import { sendAttempt, startUpstream } from "../fixtures/upstream_socket.ts";

const signed = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n";
const refused = "HTTP/1.1 503 Full\r\nnot-run: 1\r\n";
const bytesPerWrite = 65_536;

/** Bytes after which an answer without end must have been cut off. */
const maxBytes = 64 * 1_024 * 1_024;

/** Writes a head, then a text again and again until the caller closes. */
function writeEndlessly(
  socket: Socket,
  head: string,
  text: string,
): Promise<number> {
  const chunk = text.repeat(Math.ceil(bytesPerWrite / text.length));
  socket.write(head);
  return new Promise((resolve) => {
    const write = () => {
      const isWritable = !socket.destroyed && socket.bytesWritten < maxBytes;
      if (isWritable && socket.write(chunk)) {
        setImmediate(write);
      }
    };
    socket.on("drain", write);
    socket.on("close", () => resolve(socket.bytesWritten));
    write();
  });
}

const cases = {
  "a head": { head: signed, text: "x: y\r\n", streaming: false },
  "interim answers": {
    head: "",
    text: "HTTP/1.1 100 Continue\r\n\r\n",
    streaming: false,
  },
  "a body": { head: `${signed}\r\n`, text: "x", streaming: false },
  "a refusal": { head: `${refused}\r\n`, text: "x", streaming: false },
  "an unsigned body": {
    head: "HTTP/1.1 200 OK\r\nid: r1\r\n\r\n",
    text: "x",
    streaming: false,
  },
  "an event": { head: `${signed}\r\ndata: `, text: "x", streaming: true },
} as const;

// The bytes filled the memory or were read until the caller's deadline.
for (const [name, { head, text, streaming }] of Object.entries(cases)) {
  t.test(`${name} without end is cut off`, async (t) => {
    let written: Promise<number> = Promise.resolve(0);
    const address = await startUpstream(t, (socket) => {
      written = writeEndlessly(socket, head, text);
    });
    const [event] = await sendAttempt(t, address, { streaming });
    const kind = name === "a refusal" ? "attempt_refused" : "attempt_failed";
    t.equal(event?.kind, kind);
    t.ok(await written < maxBytes, "the connection was closed");
  });
}
