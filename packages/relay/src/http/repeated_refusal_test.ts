import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import type { Test } from "tap";
import t from "tap";
import { AttemptSender } from "../fixtures/upstream_socket.ts";

const workMs = 60;

/** Returns a refusal; one without an id could belong to any request. */
function refusalOf(status: number, id: string | null): string {
  const idLine = id === null ? "" : `id: ${id}\r\n`;
  return `HTTP/1.1 ${status} Full\r\nnot-run: 1\r\n${idLine}content-length: 0\r\n\r\n`;
}

function answerOf(id: string): string {
  return `HTTP/1.1 200 OK\r\nid: ${id}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok`;
}

/** Writes a text in parts, with a pause between them. */
function writeParts(socket: Socket, parts: readonly string[]): void {
  for (const [index, part] of parts.entries()) {
    setTimeout(() => {
      if (!socket.destroyed) {
        socket.write(part);
      }
    }, 10 * index);
  }
}

/**
 * Starts an upstream that refuses its first request and runs all others. On the
 * connection of the refusal it writes that once more.
 */
async function startUpstream(
  t: Test,
  { refusal, repeatAt, parts }: {
    readonly refusal: string;
    readonly repeatAt: "once" | "next_request";
    readonly parts: number;
  },
): Promise<string> {
  let requests = 0;
  const server = createServer((socket) => {
    let isRefused = false;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      requests += 1;
      const middle = Math.floor(refusal.length / parts);
      const repeated = [refusal.slice(0, middle), refusal.slice(middle)];
      if (requests === 1) {
        isRefused = true;
        socket.write(refusal);
        if (repeatAt === "once") {
          setTimeout(() => writeParts(socket, repeated), 10);
        }
        return;
      }
      if (isRefused && repeatAt === "next_request") {
        writeParts(socket, repeated);
      }
      const answer = answerOf(`r${requests}`);
      setTimeout(() => {
        if (!socket.destroyed) {
          socket.write(answer);
        }
      }, workMs);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const status of [503, 429, 421, 400]) {
  for (const id of [null, "r1"]) {
    for (const repeatAt of ["once", "next_request"] as const) {
      for (const parts of [1, 2]) {
        const named = id === null ? "without an id" : "of the earlier request";
        const title =
          `${status} ${named}, written again at ${repeatAt} in ${parts} parts`;
        // The next request on the connection counted as not run, and ran.
        t.test(`a request that runs is not refused by ${title}`, async (t) => {
          const refusal = refusalOf(status, id);
          const options = { refusal, repeatAt, parts };
          const address = await startUpstream(t, options);
          const sender = new AttemptSender(t);
          const [first] = await sender.send(address, { method: "GET" });
          t.match(first, { kind: "attempt_refused" });
          await new Promise((resolve) => setTimeout(resolve, 30));
          const second = { requestId: "r2", method: "GET" } as const;
          const events = await sender.send(address, second);
          t.equal(events.length, 1);
          t.not(events[0]?.kind, "attempt_refused");
        });
      }
    }
  }
}
