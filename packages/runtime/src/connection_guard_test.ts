import fc from "fast-check";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { once } from "node:events";
import { text } from "node:stream/consumers";
import type { Test } from "tap";
import t from "tap";
import type { CloseReason, ConnectionLimits } from "./connection_guard.ts";
import {
  ConnectionGuard,
  defaultConnectionLimits,
} from "./connection_guard.ts";

type Listener = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts a guarded server; returns what it reports and holds. */
async function startServer(
  t: Test,
  listener: Listener,
  change: Partial<ConnectionLimits> = {},
) {
  const reasons: CloseReason[] = [];
  const held = new Map<object, number>();
  const guard = new ConnectionGuard({
    server: "test",
    limits: { ...defaultConnectionLimits, ...change },
    onClosed: (reason) => reasons.push(reason),
    openAccount: () => {
      const account = {
        set: (bytes: number) => void held.set(account, bytes),
        close: () => void held.delete(account),
      };
      return account;
    },
  });
  const server: Server = guard.createServer({}, listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const sockets: Socket[] = [];
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  const open = () => {
    const { port } = server.address() as AddressInfo;
    const socket = connect({ port, host: "127.0.0.1", noDelay: true });
    socket.on("error", () => undefined);
    sockets.push(socket);
    return socket;
  };
  const heldBytes = () => [...held.values()].reduce((sum, n) => sum + n, 0);
  return { reasons, open, heldBytes };
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

const chunkedHead = "POST /1 HTTP/1.1\r\nhost: a\r\n" +
  "transfer-encoding: chunked\r\n\r\n";

/** Resolves once a socket has closed, after an error or without. */
const closeOf = (socket: Socket) =>
  new Promise<void>((resolve) => socket.once("close", () => resolve()));

const turn = () => new Promise((resolve) => setImmediate(resolve));

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) {
    await turn();
  }
}

// A pipelined request was dispatched as it arrived, before its turn.
t.test("a pipelined request begins once the answer before is written", async (t) => {
  const begun: [string, ServerResponse][] = [];
  const { open, heldBytes } = await startServer(t, ({ url = "" }, response) => {
    begun.push([url, response]);
  });
  const socket = open().resume();
  socket.write(get("/1") + get("/2") + get("/3"));
  await waitUntil(() => heldBytes() > 0);
  for (const count of [1, 2, 3]) {
    await waitUntil(() => begun.length >= count);
    await turn();
    await turn();
    t.equal(begun.length, count);
    begun.at(-1)?.[1].end();
  }
  t.strictSame(begun.map(([url]) => url), ["/1", "/2", "/3"]);
  await waitUntil(() => heldBytes() === 0);
});

// A caller's close must end its running request at once, and the promise that a
// waiting request has not run must hold.
t.test("a close is noticed behind pipelined requests, which do not run", async (t) => {
  const begun: ServerResponse[] = [];
  const { open, heldBytes, reasons } = await startServer(
    t,
    ({ url }, response) => {
      if (url === "/quick") {
        response.end();
      } else {
        begun.push(response);
      }
    },
  );
  const socket = open().resume();
  // Reading has been paused by the time at which the last request begins.
  socket.write(get("/quick").repeat(5) + get("/1").repeat(2_500));
  await waitUntil(() => begun.length === 1 && heldBytes() > 0);
  socket.write(get("/1").repeat(100));
  for (let turns = 0; turns < 10; turns++) {
    await turn();
  }
  const [first] = begun;
  const closed = once(first as ServerResponse, "close");
  socket.destroy();
  await closed;
  await turn();
  t.equal(begun.length, 1);
  t.equal(heldBytes(), 0);
  t.strictSame(reasons, []);
});

// Node keeps the fields of a head and of trailers as they arrive, and nothing
// counted them until the request was complete.
t.test("heads and trailers that do not end are held to account", async (t) => {
  const { open, heldBytes } = await startServer(t, (request, response) => {
    request.resume();
    request.on("end", () => response.end());
  });
  const fields = "x: y\r\n".repeat(1_000);
  const head = open().resume();
  head.write(`GET / HTTP/1.1\r\nhost: a\r\n${fields}`);
  await waitUntil(() => heldBytes() > 72_000);
  head.write("\r\n");
  await waitUntil(() => heldBytes() === 0);
  head.destroy();
  const trailers = open().resume();
  trailers.write(
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" +
      `1\r\nx\r\n0\r\n${fields}`,
  );
  await waitUntil(() => heldBytes() > 72_000);
  trailers.write("\r\n");
  await waitUntil(() => heldBytes() === 0);
});

// Reading went on while requests awaited their turn, faster than they had it.
t.test("what waits on a connection is bounded", async (t) => {
  const { open, heldBytes } = await startServer(t, (_, response) => {
    response.end();
  });
  const socket = open();
  socket.write(get("/1").repeat(200_000));
  let most = 0;
  for (let turns = 0; turns < 1_000; turns++) {
    await turn();
    most = Math.max(most, heldBytes());
  }
  t.ok(most > 0);
  t.ok(most <= 3 * 65_536, `${most} bytes were held`);
});

// Pieces that the parser gets must not depend on how the bytes arrive.
t.test("requests are read the same however their bytes are split", async (t) => {
  const received: string[] = [];
  const { open, reasons } = await startServer(t, (request, response) => {
    void text(request).then((body) => {
      received.push(`${request.url} ${body}`);
      response.end();
    });
  });
  const body = fc.string({ unit: fc.constantFrom("a", "\r", "\n", "0") });
  const message = fc.record({ body, isChunked: fc.boolean() });
  await fc.assert(
    fc.asyncProperty(
      fc.array(message, { minLength: 1, maxLength: 5 }),
      fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
      async (messages, sizes) => {
        received.length = 0;
        const socket = open().resume();
        let bytes = messages.map((message, index) => write(index, message))
          .join("");
        for (let index = 0; bytes !== ""; index++) {
          const size = sizes[index % sizes.length] ?? 1;
          socket.write(bytes.slice(0, size));
          bytes = bytes.slice(size);
          await turn();
        }
        await waitUntil(() => received.length === messages.length);
        socket.destroy();
        t.strictSame(
          received,
          messages.map(({ body }, index) => `/${index} ${body}`),
        );
      },
    ),
    { seed: 1, numRuns: 60 },
  );
  t.strictSame(reasons, []);
});

function write(
  index: number,
  { body, isChunked }: { readonly body: string; readonly isChunked: boolean },
): string {
  const head = `POST /${index} HTTP/1.1\r\nhost: a\r\n`;
  if (!isChunked) {
    return `${head}content-length: ${body.length}\r\n\r\n${body}`;
  }
  const parts = [body.slice(0, index), body.slice(index)];
  const chunks = parts.filter((part) => part !== "")
    .map((part) => `${part.length.toString(16)};a=1\r\n${part}\r\n`).join("");
  return `${head}transfer-encoding: chunked\r\n\r\n${chunks}0\r\nx: y\r\n\r\n`;
}

// Small chunks take a thousand times the time and memory of their bytes.
t.test("a body in very small chunks closes its connection", async (t) => {
  for (
    const [chunk, isServed] of [["x", false], ["xxxxxxxxxx", true]] as const
  ) {
    const { open, reasons } = await startServer(t, (request, response) => {
      void text(request).then(() => response.end(), () => undefined);
    });
    const size = chunk.length.toString(16);
    const socket = open().resume();
    const ended = Promise.race([once(socket, "data"), closeOf(socket)]);
    socket.write(`${chunkedHead}${`${size}\r\n${chunk}\r\n`.repeat(9_000)}`);
    socket.write("0\r\n\r\n");
    const [answer] = await ended ?? [];
    t.equal(Buffer.isBuffer(answer), isServed);
    t.strictSame(reasons, isServed ? [] : ["small_chunks"]);
  }
});

// Bodies were cut at lines of up to one byte, and each piece counted as a chunk.
t.test("short lines in a large chunk are not small chunks", async (t) => {
  for (const body of ["0\n".repeat(2_000), "\n".repeat(4_194_304)]) {
    const { open, reasons } = await startServer(t, (request, response) => {
      void text(request).then(
        ({ length }) => response.end(`${length}`),
        () => undefined,
      );
    });
    const size = body.length.toString(16);
    const socket = open();
    const ended = Promise.race([once(socket, "data"), closeOf(socket)]);
    socket.write(`${chunkedHead}${size}\r\n${body}\r\n0\r\n\r\n`);
    t.match(String(await ended), new RegExp(`\\b${body.length}\\b`, "u"));
    t.strictSame(reasons, []);
  }
});

// The rest of a body is read after an early answer, so that the answer arrives.
t.test("the rest of a body is discarded after an early answer, to a bound", async (t) => {
  const { open, reasons } = await startServer(t, (_, response) => {
    response.end("early");
  }, { discardedBytes: 500_000 });
  const socket = open();
  let answers = 0;
  socket.on(
    "data",
    (bytes) => answers += String(bytes).split("early").length - 1,
  );
  const head = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 400000\r\n\r\n";
  socket.write(head);
  await waitUntil(() => answers === 1);
  socket.write("x".repeat(400_000) + get("/2"));
  await waitUntil(() => answers === 2);
  t.strictSame(reasons, []);
  socket.write(head.replace("400000", "999999999"));
  await waitUntil(() => answers === 3);
  socket.write("x".repeat(900_000));
  await closeOf(socket);
  t.strictSame(reasons, ["body_not_read"]);
});

// Each of these took memory, descriptors or time without a bound.
const excesses = [
  { reason: "pipelined", text: get("/1").repeat(20_000) },
  { reason: "empty_lines", text: "\r\n".repeat(200) },
  { reason: "stalled", text: `${chunkedHead}5\r\nx` },
] as const;
for (const { reason, text } of excesses) {
  t.test(`a connection is closed with the reason ${reason}`, async (t) => {
    const { open, reasons } = await startServer(t, () => undefined, {
      stalledMs: 1_500,
    });
    const socket = open().resume();
    socket.write(text);
    await closeOf(socket);
    t.strictSame(reasons, [reason]);
  });
}

// A line for each connection would let clients fill the log.
t.test("closed connections are counted each and logged now and then", (t) => {
  const counted: CloseReason[] = [];
  const lines: unknown[] = [];
  const guard = new ConnectionGuard({
    server: "test",
    limits: defaultConnectionLimits,
    onClosed: (reason) => counted.push(reason),
    log: (event, fields) => lines.push({ event, ...fields }),
  });
  for (let number = 0; number < 100; number++) {
    guard.report("pipelined");
  }
  guard.report("memory");
  t.equal(counted.length, 101);
  t.strictSame(lines, [
    {
      event: "connection_closed",
      server: "test",
      reason: "pipelined",
      count: 1,
    },
    { event: "connection_closed", server: "test", reason: "memory", count: 1 },
  ]);
  t.end();
});

// Clients that only open connections must not keep out those with requests.
t.test("beyond the limit, a connection without a request gives way", async (t) => {
  const { open, reasons } = await startServer(t, ({ url }, response) => {
    if (url === "/1") {
      response.end();
    }
  }, { connections: 2 });
  const first = open();
  first.write(get("/1"));
  await once(first, "data");
  const second = open();
  const closed = closeOf(second.resume());
  await once(second, "connect");
  const third = open();
  third.write(get("/1"));
  await once(third, "data");
  await closed;
  t.strictSame(reasons, ["too_many_connections"]);
  first.write(get("/1"));
  await once(first, "data");
  first.write(get("/wait"));
  third.write(get("/1"));
  await once(third, "data");
  third.write(get("/wait"));
  await closeOf(open().resume());
  t.notOk(first.closed || third.closed, "requests in progress go on");
});

// A body sent a byte now and then kept its connection from being idle or stalled,
// so that a client with all connections kept out everybody else.
t.test("beyond the limit, a request whose body is slowest gives way", async (t) => {
  const { open, reasons } = await startServer(t, (request, response) => {
    if (request.url === "/early") {
      response.end();
    } else {
      void text(request).then((body) => response.end(body), () => undefined);
    }
  }, { connections: 3 });
  const head = (path: string) =>
    `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n` +
    "expect: 100-continue\r\n\r\n";
  const begin = async (path: string) => {
    const socket = open();
    socket.write(head(path));
    await once(socket, "data");
    return socket.resume();
  };
  const slow = await begin("/slow");
  const fast = await begin("/fast");
  const early = await begin("/early");
  slow.write("x");
  fast.write("x".repeat(99_999));
  for (const [last, count] of [[early, 1], [slow, 2]] as const) {
    const closed = closeOf(last);
    const next = open();
    next.write(get("/next"));
    await Promise.race([once(next, "data"), closeOf(next)]);
    t.notOk(next.closed, "a new connection is served");
    await closed;
    t.strictSame(reasons, Array(count).fill("too_many_connections"));
    next.write(head("/fast"));
    await once(next, "data");
    next.write("x".repeat(50_000));
  }
  fast.write("x");
  await once(fast, "data");
  t.notOk(fast.closed, "the fast body is received and answered");
});
