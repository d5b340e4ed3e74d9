import t from "tap";
import type { Test } from "tap";
import { request } from "undici";
import { OpaqueUpstream, RunRegistry } from "./opaque_upstream.ts";

async function startUpstream(t: Test): Promise<{
  readonly registry: RunRegistry;
  readonly send: (prefix: string) => ReturnType<typeof request>;
}> {
  const registry = new RunRegistry();
  const upstream = new OpaqueUpstream({
    instance: "e1",
    registry,
    events: 2,
    crashPart: "bad",
  });
  const address = await upstream.start();
  t.teardown(() => upstream.stop());
  const send = (prefix: string) =>
    request(`http://${address}/`, {
      method: "POST",
      headers: {
        "lavenderferry-request-id": "r1",
        "lavenderferry-expect-instance": "e1",
        "lavenderferry-prompt-prefix": prefix,
      },
    });
  return { registry, send };
}

t.test("an upstream crashes between the head and the first event", async (t) => {
  const { registry, send } = await startUpstream(t);
  const { statusCode, headers, body } = await send("a:10, bad:20 ,own:5");
  t.equal(statusCode, 200);
  t.equal(headers["content-type"], "text/event-stream");
  await t.rejects(body.text());
  t.match(registry.crashPartArrivals, [{ requestId: "r1" }]);
  t.match(registry.crashes, [{ instance: "e1" }]);
  await t.rejects(send("a:10,own:5"), { code: "ECONNREFUSED" });
  t.equal(registry.runs.size, 0);
});

t.test("an upstream serves prompts without the part before the last", async (t) => {
  const { registry, send } = await startUpstream(t);
  for (const prefix of ["", "bad:20", "a:10,bad:20", "bad2:20,own:5"]) {
    const { statusCode, body } = await send(prefix);
    t.equal(statusCode, 200);
    t.match(await body.text(), /^id: 1\n.*\n\nid: [0-9]+\n.*\n\n$/);
  }
  t.strictSame(registry.crashPartArrivals, []);
  t.strictSame(registry.crashes, []);
});
