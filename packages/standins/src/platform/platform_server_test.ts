import type { Test } from "tap";
import t from "tap";
import { request } from "undici";
import type { PlatformSizes } from "./platform_server.ts";
import { defaultPlatformSizes, PlatformServer } from "./platform_server.ts";
import { WeightStore } from "./weight_store.ts";
import { RateLimit } from "../util/rate_limit.ts";

class TestClient {
  readonly #url: string;

  constructor(url: string) {
    this.#url = url;
  }

  async send(method: "POST" | "PUT", path: string, body: object) {
    const response = await request(`${this.#url}${path}`, {
      method,
      body: JSON.stringify(body),
    });
    const answer = await response.body.json() as Record<string, unknown>;
    return { status: response.statusCode, answer };
  }

  async commit(...writes: readonly object[]) {
    return await this.send("POST", "/v1/table/commit", { writes });
  }

  async read(key: string) {
    return await this.send("POST", "/v1/table/read", { keys: [key] });
  }

  async setFaults(faults: object) {
    await this.send("PUT", "/control/faults", faults);
  }
}

async function startPlatform(
  t: Test,
  sizes: Partial<PlatformSizes> = {},
): Promise<TestClient> {
  const platform = new PlatformServer({ ...defaultPlatformSizes, ...sizes });
  const { server, port } = await platform.start("127.0.0.1", 0);
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return new TestClient(`http://127.0.0.1:${port}`);
}

t.test("a transaction applies all of its writes or none", async (t) => {
  const platform = await startPlatform(t);
  const create = { key: "a", ifVersion: null, value: 1 };
  t.equal((await platform.commit(create)).status, 200);
  const second = await platform.commit(create, { ...create, key: "b" });
  t.equal(second.status, 409);
  t.strictSame((await platform.read("b")).answer, { rows: [null] });
  const update = { key: "a", ifVersion: 1, value: 2 };
  t.strictSame((await platform.commit(update)).answer, {
    kind: "committed",
    versions: [2],
  });
});

t.test("a lost answer leaves the write in effect", async (t) => {
  const platform = await startPlatform(t);
  await platform.setFaults({ lostAnswers: 1 });
  await t.rejects(platform.commit({ key: "a", ifVersion: null, value: 1 }));
  t.match((await platform.read("a")).answer, { rows: [{ value: 1 }] });
});

const outages = [
  { faults: { down: true }, read: 503, commit: 503 },
  { faults: { downPaths: ["/v1/table/commit"] }, read: 200, commit: 503 },
  { faults: { downPaths: ["/v1/table/read"] }, read: 503, commit: 200 },
  { faults: { delayMs: 5 }, read: 200, commit: 200 },
];

for (const { faults, read, commit } of outages) {
  t.test(`only operations that are down are refused: ${JSON.stringify(faults)}`, async (t) => {
    const platform = await startPlatform(t);
    await platform.setFaults(faults);
    t.equal((await platform.read("a")).status, read);
    const write = { key: "a", ifVersion: null, value: 1 };
    t.equal((await platform.commit(write)).status, commit);
    await platform.setFaults({});
    const { rows } = (await platform.read("a")).answer as { rows: unknown[] };
    t.equal(rows[0] === null, commit !== 200, "a refused write has no effect");
  });
}

t.test("operations beyond the limit are refused before they run", async (t) => {
  const platform = await startPlatform(t, { writesPerSecond: 0.001 });
  const write = { key: "a", ifVersion: null, value: 1 };
  t.equal((await platform.commit(write)).status, 429);
  t.strictSame((await platform.read("a")).answer, { rows: [null] });
});

t.test("the list of VMs lags by listLagMs", async (t) => {
  const platform = await startPlatform(t);
  const vm = {
    id: "engine-0",
    role: "engine",
    dataCentre: "krakow",
    region: "centre",
    state: "live",
    address: "127.0.0.1:1",
  };
  await platform.setFaults({ listLagMs: 3_600_000 });
  await platform.send("PUT", "/control/vms", vm);
  const stale = await platform.send("POST", "/v1/vms/list", {});
  t.strictSame(stale.answer, { vms: [] });
  await platform.setFaults({});
  const current = await platform.send("POST", "/v1/vms/list", {});
  t.match(current.answer, { vms: [{ id: "engine-0" }] });
});

t.test("the rate limit refills up to the operations of one second", (t) => {
  const limit = new RateLimit(10, 0);
  t.equal(limit.tryAcquire(10, 0), true);
  t.equal(limit.tryAcquire(1, 50), false);
  t.equal(limit.tryAcquire(1, 150), true);
  t.equal(limit.tryAcquire(11, 100_000), false);
  t.equal(limit.tryAcquire(10, 100_000), true);
  t.end();
});

t.test("weight reads are serialized and their queue is bounded", (t) => {
  const store = new WeightStore({
    bytesPerModel: 100,
    bytesPerSecond: 1_000,
    maxWaiting: 2,
  });
  t.strictSame([1, 2, 3, 4].map(() => store.scheduleRead(0)), [
    100,
    200,
    300,
    null,
  ]);
  t.equal(store.scheduleRead(250), 400);
  t.end();
});
