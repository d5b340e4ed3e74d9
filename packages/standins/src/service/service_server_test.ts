import type { Test } from "tap";
import t from "tap";
import { request } from "undici";
import { PlatformServer } from "../platform/platform_server.ts";
import { ServiceServer } from "./service_server.ts";

async function startService(t: Test, platformUrl?: string): Promise<string> {
  const service = new ServiceServer({
    ip: "127.0.0.1",
    port: 0,
    pool: "booking",
    workMs: 0,
    platformUrl,
  });
  const port = await service.start();
  t.teardown(() => service.drain());
  return `http://127.0.0.1:${port}`;
}

async function startPlatform(t: Test): Promise<string> {
  const { server, port } = await new PlatformServer().start("127.0.0.1", 0);
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${port}`;
}

async function post(url: string, key: string, body: object) {
  const response = await request(url, {
    method: "POST",
    headers: { "idempotency-key": key },
    body: JSON.stringify(body),
  });
  await response.body.dump();
  return response;
}

async function get(url: string): Promise<unknown> {
  return await (await request(url)).body.json();
}

t.test("the processes of a pool share the state of a slot", async (t) => {
  const platform = await startPlatform(t);
  const first = await startService(t, platform);
  const second = await startService(t, platform);
  const body = { slot: "s-1", by: "anna" };
  t.equal((await post(`${first}/bookings`, "k-1", body)).statusCode, 201);
  t.equal((await post(`${second}/confirmations`, "k-2", body)).statusCode, 201);
  const expected = {
    slot: "s-1",
    taken: 1,
    by: "anna",
    confirmed: 1,
    keys: ["k-1", "k-2"],
  };
  t.strictSame(await get(`${first}/slots/s-1`), expected);
  t.strictSame(await get(`${second}/slots/s-1`), expected);
  const third = await startService(t, platform);
  t.strictSame(await get(`${third}/slots/s-1`), expected);
  t.match(await get(`${platform}/control/runs?pool=booking`), {
    runs: [{ call: "bookings" }, { call: "confirmations" }],
  });
  t.match(await get(`${second}/runs`), { runs: [{ key: "k-2" }] });
});

t.test("a refused call answers with the not-run header", async (t) => {
  const url = await startService(t);
  const response = await post(`${url}/bookings`, "k-1", { slot: 5 });
  t.equal(response.statusCode, 400);
  t.equal(response.headers["not-run"], "true");
  t.strictSame(await get(`${url}/runs`), { runs: [] });
});
