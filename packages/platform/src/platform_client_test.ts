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

function committed(response: ServerResponse): void {
  response.end(JSON.stringify({ kind: "committed", versions: [1] }));
}

function rows(response: ServerResponse): void {
  response.end(JSON.stringify({ rows: [null] }));
}

function refuse(response: ServerResponse): void {
  response.writeHead(503).end("{}");
}

function cut(response: ServerResponse): void {
  response.destroy();
}

/** Starts a store whose answers the test decides. */
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
  const store: Store = { answer: rows, paths: [], bodies: [], client };
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  return store;
}

async function failureOf(promise: Promise<unknown>): Promise<Failure> {
  try {
    await promise;
  } catch (error) {
    return error as Failure;
  }
  throw new Error("Nothing failed");
}

t.test("a commit is sent once, whatever happens to its answer", async (t) => {
  const cases = [
    { answer: cut, notRun: "unknown" },
    { answer: refuse, notRun: true },
  ];
  for (const { answer, notRun } of cases) {
    const store = await startStore(t);
    store.answer = answer;
    const failure = await failureOf(store.client.commit([write], "bookings"));
    t.equal(failure.kind, "store_unavailable");
    t.equal(failure.notRun, notRun);
    t.equal(store.paths.length, 1);
  }
});

t.test("a read is sent again, a bounded number of times", async (t) => {
  const store = await startStore(t);
  let left = 1;
  store.answer = (response) => (left-- > 0 ? cut : rows)(response);
  t.strictSame(await store.client.read(["k"], "leases"), [null]);
  t.equal(store.paths.length, 2);
  store.answer = cut;
  await failureOf(store.client.read(["k"], "leases"));
  t.equal(store.paths.length, 5);
});

t.test("a store that is down is not asked, and nothing ran", async (t) => {
  const store = await startStore(t);
  store.answer = cut;
  for (let index = 0; index < 5; index++) {
    await failureOf(store.client.commit([write], "cost"));
  }
  t.equal(store.client.circuit, "open");
  const sent = store.paths.length;
  const failure = await failureOf(store.client.commit([write], "bookings"));
  t.equal(failure.notRun, true);
  t.equal(failure.kind, "store_unavailable");
  t.equal(store.paths.length, sent);
  t.equal(store.client.operations.refused, 1);
});

t.test("a store that is back is found by one probe", async (t) => {
  const store = await startStore(t);
  store.answer = cut;
  for (let index = 0; index < 5; index++) {
    await failureOf(store.client.commit([write], "cost"));
  }
  store.answer = committed;
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

t.test("what waits is sent by priority", async (t) => {
  const store = await startStore(t, { concurrency: 1 });
  store.answer = committed;
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

t.test("what waits too long for its turn has not run", async (t) => {
  const store = await startStore(t, { writesPerSecond: 1, timeoutMs: 500 });
  store.answer = committed;
  const commits = [1, 2].map(() => store.client.commit([write], "cost"));
  await commits[0];
  const failure = await failureOf(commits[1] ?? Promise.resolve());
  t.equal(failure.notRun, true);
  t.equal(store.paths.length, 1);
});
