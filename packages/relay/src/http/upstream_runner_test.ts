import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import t from "tap";
import {
  createRunner,
  sendAttempt,
  startUpstream,
} from "../fixtures/upstream_socket.ts";
import type { RelayEvent } from "../relay_event.ts";

const signed = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n";

t.test("a complete answer is received", async (t) => {
  const address = await startUpstream(t, (socket) => {
    socket.end(`${signed}content-length: 2\r\n\r\nok`);
  });
  const [event, ...more] = await sendAttempt(t, address);
  t.match(event, { kind: "answer_received", answer: { status: 200 } });
  t.strictSame(more, []);
});

t.test("an answer without a length ends with its connection", async (t) => {
  const address = await startUpstream(t, (socket) => {
    socket.end(`${signed}\r\nall of it`);
  });
  const [event] = await sendAttempt(t, address);
  t.match(event, { kind: "answer_received" });
});

t.test("an answer without a length fails on a reset", async (t) => {
  for (const waitMs of [0, 20]) {
    const address = await startUpstream(t, (socket) => {
      socket.write(`${signed}connection: close\r\n\r\npart of it`, () => {
        setTimeout(() => socket.resetAndDestroy(), waitMs);
      });
    });
    const events = await sendAttempt(t, address);
    t.match(events, [{ kind: "attempt_failed" }]);
  }
});

t.test("a stream that is truncated between chunks fails", async (t) => {
  const event = "id: 1\ndata: a\n\n";
  const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;
  const head = `${signed}transfer-encoding: chunked\r\nconnection: close`;
  for (const end of ["close", "reset"]) {
    const address = await startUpstream(t, (socket) => {
      socket.write(`${head}\r\n\r\n${chunk}`, () => {
        if (end === "close") {
          socket.end();
        } else {
          socket.resetAndDestroy();
        }
      });
    });
    const events = await sendAttempt(t, address, { streaming: true });
    t.equal(events.at(-1)?.kind, "attempt_failed", end);
  }
});

t.test("a stream that ends with its last chunk is complete", async (t) => {
  const event = "id: 1\ndata: a\n\n";
  const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;
  const address = await startUpstream(t, (socket) => {
    socket.end(`${signed}transfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`);
  });
  t.match(await sendAttempt(t, address, { streaming: true }), [
    { kind: "events_received", count: 1, lastEventId: "1" },
    { kind: "stream_ended", framed: true },
  ]);
});

t.test("an upstream that is silent for a while is waited for", async (t) => {
  const silenceMs = 1_500;
  const event = "id: 1\ndata: a\n\n";
  const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;
  const stream = `${signed}transfer-encoding: chunked\r\n\r\n${chunk}`;
  const plain = `${signed}content-length: 2\r\n\r\no`;
  const cases = [
    { parts: ["", `${plain}k`], streaming: false, kind: "answer_received" },
    { parts: [plain, "k"], streaming: false, kind: "answer_received" },
    { parts: [stream, `0\r\n\r\n`], streaming: true, kind: "stream_ended" },
  ] as const;
  await Promise.all(cases.map(async ({ parts, streaming, kind }) => {
    const [first, second] = parts;
    const address = await startUpstream(t, (socket) => {
      socket.write(first);
      setTimeout(() => socket.end(second), silenceMs);
    });
    const events = await sendAttempt(t, address, { streaming });
    t.equal(events.at(-1)?.kind, kind);
    t.notOk(events.some((event) => event.kind === "attempt_failed"));
  }));
});

t.test("only an attempt that cannot have run counts as refused", async (t) => {
  const cases = [
    { head: "HTTP/1.1 503 Full\r\nnot-run: 1\r\n", kind: "attempt_refused" },
    { head: "HTTP/1.1 421 Other\r\n", kind: "attempt_refused" },
    { head: "HTTP/1.1 503 Full\r\n", kind: "attempt_failed" },
    {
      head: "HTTP/1.1 503 Full\r\nid: r1\r\nseal: s\r\n",
      kind: "attempt_failed",
    },
    {
      head: "HTTP/1.1 200 OK\r\nid: r2\r\nseal: s\r\n",
      kind: "attempt_failed",
    },
    { head: "HTTP/1.1 200 OK\r\nid: r1\r\n", kind: "attempt_failed" },
    { head: "HTTP/1.1 200 OK\r\nseal: s\r\n", kind: "attempt_failed" },
    { head: "what is this\r\n", kind: "attempt_failed" },
  ];
  for (const { head, kind } of cases) {
    const address = await startUpstream(t, (socket) => {
      socket.end(`${head}content-length: 0\r\n\r\n`);
    });
    const events = await sendAttempt(t, address);
    t.match(events, [{ kind }], head);
  }
});

t.test("an attempt at an unreachable upstream counts as refused", async (t) => {
  const address = await startUpstream(t, () => undefined);
  const unused = `127.0.0.1:1`;
  t.match(await sendAttempt(t, unused), [{ reason: "unreachable" }]);
  t.ok(address);
});

t.test("a connection closed without an answer is a failure", async (t) => {
  const address = await startUpstream(t, (socket) => socket.destroy());
  t.match(await sendAttempt(t, address), [{ kind: "attempt_failed" }]);
});

t.test("an engine has ended if nothing listens at its address", async (t) => {
  const { handlers } = createRunner();
  const check = (address: string) =>
    new Promise<RelayEvent>((resolve) =>
      handlers.check_engine(
        { kind: "check_engine", upstream: "e1", address },
        resolve,
      )
    );
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const result = { kind: "engine_checked", upstream: "e1" };
  t.match(await check(address), { ...result, outcome: "listening" });
  await new Promise((resolve) => server.close(resolve));
  t.match(await check(address), { ...result, outcome: "ended" });
});

t.test("an unframed stream without an event was lost", async (t) => {
  const address = await startUpstream(
    t,
    (socket) => socket.end(`${signed}\r\n`),
  );
  t.match(await sendAttempt(t, address, { streaming: true }), [
    { kind: "attempt_failed", reason: "empty_stream", connectionLost: true },
  ]);
});

// An exception of an effect ended the process.
t.test("an attempt that cannot be sent counts as refused", async (t) => {
  for (const address of ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:x"]) {
    const events = await sendAttempt(t, address);
    t.match(events, [{ kind: "attempt_refused", reason: "unreachable" }]);
  }
  const address = await startUpstream(t, () => undefined);
  const events = await sendAttempt(t, address, {
    instance: "two\r\nlines",
  });
  t.match(events, [{ kind: "attempt_refused", reason: "unreachable" }]);
});

t.test("an engine whose address cannot be used is silent", async (t) => {
  const { handlers } = createRunner();
  const event = await new Promise((resolve) =>
    handlers.check_engine(
      { kind: "check_engine", upstream: "e1", address: "127.0.0.1:99999" },
      resolve,
    )
  );
  t.match(event, { kind: "engine_checked", outcome: "silent" });
});

// One slow engine must not hold back the reports of the others.
t.test("each report of an engine is an event of its own", async (t) => {
  const timeouts: (number | undefined)[] = [];
  const report = { keptTokens: 0, freeTokens: 9, runs: [], detail: "" };
  const runner = createRunner({
    report: (address, timeoutMs) => {
      timeouts.push(timeoutMs);
      return address === "10.0.0.1:1"
        ? new Promise(() => undefined)
        : Promise.resolve(report);
    },
  });
  const askedAt = { monotonic: 5, wall: 7 };
  const event = await new Promise<RelayEvent>((resolve) =>
    runner.handlers.report_engines({
      kind: "report_engines",
      engines: [
        { id: "e1", address: "10.0.0.1:1" },
        { id: "e2", address: "10.0.0.1:2" },
      ],
      askedAt,
      deadline: performance.now() + 300,
    }, resolve)
  );
  const expected = { kind: "engine_reported", upstream: "e2", askedAt, report };
  t.strictSame(event, expected);
  t.ok(timeouts.every((timeoutMs = Infinity) => timeoutMs <= 300));
});
