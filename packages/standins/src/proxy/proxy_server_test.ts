import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { Test } from "tap";
import t from "tap";
import { Agent, request } from "undici";
import { listen, sendJson } from "../util/http_server.ts";
import polka from "polka";
import { healthyLink, ProxyServer } from "./proxy_server.ts";

const requestTimeoutMs = 200;

async function startLink(t: Test): Promise<[ProxyServer, string]> {
  const application = polka().get("/", (_request, response) => {
    sendJson(response, 200, { text: "x".repeat(5_000) });
  });
  const { server, port } = await listen(application, "127.0.0.1", 0);
  const proxy = new ProxyServer(`127.0.0.1:${port}`);
  const address = await proxy.start();
  t.teardown(() => {
    proxy.close();
    server.closeAllConnections();
    server.close();
  });
  return [proxy, `http://${address}/`];
}

async function fetchBodyLength(
  url: string,
  signal?: AbortSignal,
): Promise<number> {
  const headers = { connection: "close" };
  const response = await request(url, { headers, signal: signal ?? null });
  return (await response.body.text()).length;
}

const faultCases = [
  { name: "refused connection", faults: { refused: true } },
  { name: "stalled link", faults: { stalled: true } },
  { name: "cut connection", faults: { resetAfterBytes: 1_000 } },
  {
    name: "link blocked to the upstream",
    faults: { blockedDirection: "to_upstream" },
  },
  {
    name: "link blocked from the upstream",
    faults: { blockedDirection: "from_upstream" },
  },
] as const;

for (const { name, faults } of faultCases) {
  t.test(`a ${name} breaks the answer until the fault ends`, async (t) => {
    const [proxy, url] = await startLink(t);
    proxy.faults = { ...healthyLink, ...faults };
    await t.rejects(
      fetchBodyLength(url, AbortSignal.timeout(requestTimeoutMs)),
    );
    proxy.faults = healthyLink;
    proxy.resetConnections();
    t.ok(await fetchBodyLength(url) > 5_000);
  });
}

t.test("open connections that go silent carry nothing, new ones work", async (t) => {
  const [proxy, url] = await startLink(t);
  const agent = new Agent({ connections: 1 });
  t.teardown(() => agent.destroy());
  const send = () =>
    request(url, {
      dispatcher: agent,
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
  await (await send()).body.dump();
  proxy.silenceConnections();
  await t.rejects(send());
  t.equal((await send()).statusCode, 200);
});

t.test("a delayed link passes every byte", async (t) => {
  const [proxy, url] = await startLink(t);
  proxy.faults = { ...healthyLink, delayMs: 5 };
  t.ok(await fetchBodyLength(url) > 5_000);
});

t.test("an unreachable upstream resets the caller's connection", async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const proxy = new ProxyServer(`127.0.0.1:${port}`);
  t.teardown(() => proxy.close());
  await t.rejects(fetchBodyLength(`http://${await proxy.start()}/`));
});
