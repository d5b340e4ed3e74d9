import t from "tap";
import { sendAttempt, startUpstream } from "../fixtures/upstream_socket.ts";

const status = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n";
const event = "id: 1\ndata: a\n\n";
const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;

const answers = {
  "with a length": {
    head: `${status}content-length: 12\r\n\r\n`,
    body: "twelve bytes",
    streaming: false,
  },
  "with a length, on a closing connection": {
    head: `${status}connection: close\r\ncontent-length: 12\r\n\r\n`,
    body: "twelve bytes",
    streaming: false,
  },
  "in chunks": {
    head: `${status}transfer-encoding: chunked\r\n\r\n`,
    body: "2\r\nok\r\n0\r\n\r\n",
    streaming: false,
  },
  "in chunks, on a closing connection": {
    head: `${status}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`,
    body: "2\r\nok\r\n0\r\n\r\n",
    streaming: false,
  },
  "that ends with its connection": {
    head: `${status}connection: close\r\n\r\n`,
    body: "",
    streaming: false,
  },
  "with events": {
    head: `${status}transfer-encoding: chunked\r\n\r\n`,
    body: `${chunk}0\r\n\r\n`,
    streaming: true,
  },
  "with events, on a closing connection": {
    head: `${status}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`,
    body: `${chunk}0\r\n\r\n`,
    streaming: true,
  },
  "with events that end with its connection": {
    head: `${status}connection: close\r\n\r\n`,
    body: "",
    streaming: true,
  },
  "after an interim answer": {
    head: `HTTP/1.1 100 Continue\r\n\r\n${status}content-length: 2\r\n\r\n`,
    body: "ok",
    streaming: false,
  },
};

for (const [name, { head, body, streaming }] of Object.entries(answers)) {
  // Callers got an empty or short answer that was framed as whole.
  t.test(`an answer ${name} that is cut anywhere fails`, async (t) => {
    const text = `${head}${body}`;
    // The end of an answer without a length is that of its connection.
    const wholeLength = body === "" ? head.length : text.length;
    const lengths = Array.from({ length: wholeLength }, (_, length) => length);
    for (const end of ["close", "reset"] as const) {
      const results = await Promise.all(lengths.map(async (length) => {
        const address = await startUpstream(t, (socket) => {
          socket.write(text.slice(0, length), () => {
            setTimeout(
              () => end === "close" ? socket.end() : socket.resetAndDestroy(),
              5,
            );
          });
        });
        const events = await sendAttempt(t, address, { streaming });
        return { length, kind: events.at(-1)?.kind };
      }));
      const isFailed = ({ kind }: { kind: unknown }) =>
        kind === "attempt_failed";
      t.strictSame(results.filter((result) => !isFailed(result)), [], end);
    }
  });
}
