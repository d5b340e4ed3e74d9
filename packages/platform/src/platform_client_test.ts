import type { Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Failure } from "@lavenderferry/errors";
import type { Test } from "tap";
import t from "tap";
import type { PlatformOptions } from "./platform_client.ts";
import { PlatformClient } from "./platform_client.ts";

type Answer = (response: ServerResponse, path: string) => void;

interface Store {
  answer: Answer;
  readonly paths: string[];
  readonly bodies: string[];
  readonly client: PlatformClient;
}

const write = { key: "k", ifVersion: null, value: 1 };

function sendCommitted(response: ServerResponse): void {
  response.end(JSON.stringify({ kind: "committed", versions: [1] }));
}

function sendRows(response: ServerResponse): void {
  response.end(JSON.stringify({ rows: [null] }));
}

function sendUnavailable(response: ServerResponse): void {
  response.writeHead(503).end("{}");
}

function closeConnection(response: ServerResponse): void {
  response.destroy();
}

/** Starts a store that answers as the test sets in `answer`. */
async function startStore(
  t: Test,
  options: Partial<PlatformOptions> = {},
): Promise<Store> {
  const server: Server = createServer((request, response) => {
    const path = request.url ?? "";
    let body = "";
    request.on("data", (chunk: Buffer) => (body += chunk.toString()));
    request.on("end", () => {
      store.paths.push(path);
      store.bodies.push(body);
      store.answer(response, path);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const client = new PlatformClient({ url, seed: 1, ...options });
  const store: Store = { answer: sendRows, paths: [], bodies: [], client };
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  return store;
}

async function expectFailure(promise: Promise<unknown>): Promise<Failure> {
  try {
    await promise;
  } catch (error) {
    return error as Failure;
  }
  throw new Error("The promise was not rejected");
}

t.test("a failed commit is not sent again", async (t) => {
  const cases = [
    { answer: closeConnection, notRun: "unknown" },
    { answer: sendUnavailable, notRun: true },
  ];
  for (const { answer, notRun } of cases) {
    const store = await startStore(t);
    store.answer = answer;
    const failure = await expectFailure(
      store.client.commit([write], "bookings"),
    );
    t.equal(failure.kind, "store_unavailable");
    t.equal(failure.notRun, notRun);
    t.equal(store.paths.length, 1);
  }
});

t.test("a failed read is retried up to a limit", async (t) => {
  const store = await startStore(t);
  let failuresLeft = 1;
  store.answer = (response) =>
    (failuresLeft-- > 0 ? closeConnection : sendRows)(response);
  t.strictSame(await store.client.read(["k"], "leases"), [null]);
  t.equal(store.paths.length, 2);
  store.answer = closeConnection;
  await expectFailure(store.client.read(["k"], "leases"));
  t.equal(store.paths.length, 5);
});

t.test("an open circuit refuses operations, which did not run", async (t) => {
  const store = await startStore(t);
  store.answer = closeConnection;
  for (let index = 0; index < 5; index++) {
    await expectFailure(store.client.commit([write], "cost"));
  }
  t.equal(store.client.circuit, "open");
  const sent = store.paths.length;
  const failure = await expectFailure(store.client.commit([write], "bookings"));
  t.equal(failure.notRun, true);
  t.equal(failure.kind, "store_unavailable");
  t.equal(store.paths.length, sent);
  t.equal(store.client.operations.refused, 1);
});

t.test("one successful probe closes the circuit", async (t) => {
  const store = await startStore(t);
  store.answer = closeConnection;
  for (let index = 0; index < 5; index++) {
    await expectFailure(store.client.commit([write], "cost"));
  }
  store.answer = sendCommitted;
  for (;;) {
    try {
      await store.client.commit([write], "cost");
      break;
    } catch (error) {
      const { retryAfterMs = 0 } = error as Failure;
      await new Promise((resolve) => setTimeout(resolve, retryAfterMs));
    }
  }
  t.equal(store.client.circuit, "closed");
  t.equal(store.paths.length, 6);
});

/** Repeats reads until the circuit admits one and it is answered. */
async function readUntilAnswered(client: PlatformClient): Promise<void> {
  for (;;) {
    try {
      await client.read(["k"], "leases");
      return;
    } catch {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }
}

// The poll took the only place until the concurrency was raised again.
t.test("a long poll holds up no other read after an outage", async (t) => {
  let isDown = true;
  const rows = { status: 200, body: { rows: [null] } };
  const unchanged = { rows: [], version: 1, lost: false };
  const heldMs = 1_000;
  const client = new PlatformClient({
    seed: 1,
    timeoutMs: 500,
    transport: {
      send: async ({ kind }) => {
        if (isDown) {
          throw new Error("The store is down");
        }
        if (kind !== "changes") {
          return rows;
        }
        await new Promise((resolve) => setTimeout(resolve, heldMs));
        return { status: 200, body: unchanged };
      },
      close: () => Promise.resolve(),
    },
  });
  while (client.circuit !== "open") {
    await expectFailure(client.read(["k"], "leases"));
  }
  isDown = false;
  await readUntilAnswered(client);
  const order: string[] = [];
  const poll = client.changes("a/", 1, { waitMs: heldMs })
    .then(() => order.push("poll"));
  await client.read(["k"], "leases");
  order.push("read");
  await poll;
  t.strictSame(order, ["read", "poll"]);
});

// A large row over a narrow link took longer than the time-out, was given up with
// most of it transferred, and was asked for again.
t.test("an answer whose bytes keep arriving does not time out", async (t) => {
  const store = await startStore(t, { timeoutMs: 200 });
  const text = JSON.stringify({ rows: [null] });
  store.answer = (response) => {
    const pieces = [...text, ...Array.from(" ".repeat(20))];
    const timer = setInterval(() => {
      const piece = pieces.shift();
      if (piece === undefined) {
        clearInterval(timer);
        response.end();
      } else {
        response.write(piece);
      }
    }, 20);
  };
  t.strictSame(await store.client.read(["k"], "leases"), [null]);
  t.equal(store.paths.length, 1, "it is asked for once");
});

t.test("an answer whose bytes stay away times out", async (t) => {
  const store = await startStore(t, { timeoutMs: 200 });
  store.answer = (response) => void response.write("{");
  const failure = await expectFailure(store.client.commit([write], "leases"));
  t.match(failure, { kind: "store_unavailable", notRun: "unknown" });
});

t.test("queued operations are sent in order of priority", async (t) => {
  const store = await startStore(t, { concurrency: 1 });
  store.answer = sendCommitted;
  const order = ["bookings", "reports", "cost", "configuration", "leases"];
  const commits = order.map((priority) =>
    store.client.commit([{ ...write, key: priority }], priority as "cost")
  );
  await Promise.all(commits);
  const keys = store.bodies.map((body) =>
    (JSON.parse(body) as { writes: [{ key: string }] }).writes[0].key
  );
  t.strictSame(keys, [
    "bookings",
    "leases",
    "configuration",
    "cost",
    "reports",
  ]);
});

t.test("an operation that times out in the queue has not run", async (t) => {
  const store = await startStore(t, { writesPerSecond: 1, timeoutMs: 500 });
  store.answer = sendCommitted;
  const commits = [1, 2].map(() => store.client.commit([write], "cost"));
  await commits[0];
  const failure = await expectFailure(commits[1] ?? Promise.resolve());
  t.equal(failure.notRun, true);
  t.equal(store.paths.length, 1);
});

// One odd entry refused the whole list.
t.test("an entry that cannot be read hides no other VM", async (t) => {
  const store = await startStore(t);
  const vm = {
    id: "engine-1",
    role: "engine",
    dataCentre: "a",
    region: "north",
    state: "live",
    address: "10.0.0.1:80",
  };
  const odd = [
    null,
    "text",
    { ...vm, state: "asleep" },
    { ...vm, address: "10.0.0.1:99999" },
    { ...vm, address: "engine-1:80" },
    { ...vm, peers: "10.0.0.1" },
    { ...vm, slots: Infinity },
  ];
  for (const entry of odd) {
    store.answer = (response) => {
      response.end(JSON.stringify({ vms: [entry, vm] }));
    };
    t.match(await store.client.listVms(), [{
      id: "engine-1",
      checksFence: false,
    }]);
  }
});
