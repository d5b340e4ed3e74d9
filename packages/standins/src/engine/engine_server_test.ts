import type { Test } from "tap";
import t from "tap";
import { request } from "undici";
import { PlatformServer } from "../platform/platform_server.ts";
import { defaultEngineSizes } from "./engine_model.ts";
import type { EngineOptions } from "./engine_server.ts";
import { EngineServer } from "./engine_server.ts";

const pollMs = 10;

interface Load {
  readonly draining: boolean;
  readonly leavesAt: number | null;
  readonly models: readonly string[];
  readonly loading: readonly string[];
}

async function startEngine(
  t: Test,
  options: Partial<EngineOptions>,
): Promise<string> {
  const engine = new EngineServer({
    ip: "127.0.0.1",
    port: 0,
    models: ["base"],
    sizes: { ...defaultEngineSizes, stepMs: 1 },
    reportLagMs: 0,
    orphanTimeoutMs: 10_000,
    checksFence: false,
    ...options,
  });
  const port = await engine.start();
  t.teardown(() => engine.close());
  return `http://127.0.0.1:${port}`;
}

async function putJson(url: string, body: object) {
  const text = JSON.stringify(body);
  const response = await request(url, { method: "PUT", body: text });
  const answer = await response.body.json() as Record<string, unknown>;
  return { status: response.statusCode, answer };
}

async function fetchLoad(url: string): Promise<Load> {
  const response = await request(`${url}/v1/load`);
  return await response.body.json() as Load;
}

for (const checksFence of [true, false]) {
  t.test(`a stale fence is refused only if checked: ${checksFence}`, async (t) => {
    const url = await startEngine(t, { checksFence });
    const orders = `${url}/v1/orders`;
    await putJson(orders, { fence: 5, models: ["base", "large"] });
    const stale = await putJson(orders, { fence: 4, models: ["base"] });
    t.equal(stale.status, checksFence ? 409 : 200);
    const { models } = await fetchLoad(url);
    t.strictSame(models, checksFence ? ["base", "large"] : ["base"]);
    const response = await request(orders);
    const received = await response.body.json() as {
      orders: readonly { fence: number; accepted: boolean }[];
    };
    t.strictSame(
      received.orders.map(({ fence, accepted }) => [fence, accepted]),
      [[5, true], [4, !checksFence]],
    );
  });
}

t.test("an added model is listed after its weights have loaded", async (t) => {
  const platform = new PlatformServer();
  const { server, port } = await platform.start("127.0.0.1", 0);
  t.teardown(() => server.close());
  const store = `http://127.0.0.1:${port}`;
  await putJson(`${store}/control/faults`, { downPaths: ["/v1/weights"] });
  const url = await startEngine(t, { weightStoreUrl: store });
  await putJson(`${url}/v1/orders`, { fence: 1, models: ["base", "large"] });
  const before = await fetchLoad(url);
  t.strictSame(before.models, ["base"]);
  t.strictSame(before.loading, ["large"]);
  await putJson(`${store}/control/faults`, {});
  let load = before;
  while (load.loading.length > 0) {
    await new Promise((resolve) => setTimeout(resolve, pollMs));
    load = await fetchLoad(url);
  }
  t.strictSame(load.models, ["base", "large"]);
});

t.test("a reclaim notice drains the engine, then calls onReclaimed", async (t) => {
  let resolveReclaimed = (): void => undefined;
  const reclaimed = new Promise<void>((resolve) => {
    resolveReclaimed = resolve;
  });
  const url = await startEngine(t, { onReclaimed: () => resolveReclaimed() });
  const notice = await putJson(`${url}/control/reclaim`, { inMs: 20 });
  const { draining, leavesAt } = await fetchLoad(url);
  t.equal(draining, true);
  t.equal(leavesAt, notice.answer["leavesAt"]);
  await reclaimed;
});

t.test("a generation resumes at an index and can be cancelled", async (t) => {
  const url = await startEngine(t, {});
  const body = {
    request_id: "g-1",
    model: "base",
    prompt: "Report [out:30]",
    max_tokens: 100,
  };
  const first = await request(`${url}/v1/completions`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  const fullText = await first.body.text();
  t.equal(fullText.match(/^id: /gm)?.length, 30);
  t.match(fullText, /data: \[DONE\]\n\n$/);
  const second = await request(`${url}/v1/completions/g-1?from=25`);
  const remainingText = await second.body.text();
  t.equal(fullText.endsWith(remainingText), true);
  t.equal(remainingText.match(/^id: /gm)?.length, 5);
  const resubmitted = await request(`${url}/v1/completions`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  t.equal(resubmitted.statusCode, 409);
  await resubmitted.body.dump();
  const long = await request(`${url}/v1/completions`, {
    method: "POST",
    body: JSON.stringify({ ...body, request_id: "g-2", prompt: "[out:90]" }),
  });
  const cancel = await request(`${url}/v1/completions/g-2`, {
    method: "DELETE",
  });
  t.equal(cancel.statusCode, 200);
  await cancel.body.dump();
  t.match(await long.body.text(), /"finish_reason":"cancelled"/);
});
