import { connect } from "node:net";
import {
  ConnectionGuard,
  defaultConnectionLimits,
} from "@lavenderferry/runtime";
import type { Test } from "tap";
import t from "tap";
import {
  only,
  RelayFixture,
  routeOf,
  routingOf,
  upstreamOf,
} from "../fixtures/relay_fixture.ts";
import { codec, unlimitedBudget } from "../fixtures/upstream_socket.ts";
import { CallerExchanges } from "../http/caller_exchanges.ts";
import { FrontServer } from "../http/front_server.ts";
import type { RequestReceived } from "../relay_event.ts";
import type { RequestHead } from "./refuses_at_once.ts";
import { refusesAtOnce } from "./refuses_at_once.ts";

/** Receives one request at a server; returns its event and what was read. */
async function receive(t: Test, refuses: boolean) {
  let prompts = 0;
  const received = new Promise<RequestReceived>((resolve) => {
    const server = new FrontServer({
      codec: {
        ...codec,
        readPrompt: () => {
          prompts += 1;
          return null;
        },
      },
      exchanges: new CallerExchanges(codec, unlimitedBudget),
      budget: unlimitedBudget,
      refuses: () => refuses,
      guard: new ConnectionGuard({
        server: "callers",
        limits: defaultConnectionLimits,
      }),
      dispatch: (event) => {
        if (event.kind === "request_received") {
          resolve(event);
        }
      },
    });
    t.teardown(() => server.close());
    void server.listen({ ip: "127.0.0.1", port: 0 }).then(() => {
      const socket = connect(server.port, "127.0.0.1");
      socket.on("error", () => undefined);
      t.teardown(() => socket.destroy());
      socket.write(
        "POST /look/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx",
      );
    });
  });
  return { event: await received, prompts: () => prompts };
}

// The prompts and bodies of requests without a valid key were digested before they
// were refused.
t.test("a request that is refused in any case is not looked into", async (t) => {
  const refused = await receive(t, true);
  t.match(refused.event, { generation: null, contentDigest: null });
  t.equal(refused.prompts(), 0);
  const accepted = await receive(t, false);
  t.match(accepted.event, { contentDigest: String });
  t.equal(accepted.prompts(), 1);
});

const head: RequestHead = {
  host: "one.example",
  path: "/book/1",
  key: "key-1",
};

const heads: Readonly<Record<string, RequestHead>> = {
  "a route and a key": head,
  "an unknown host": { ...head, host: "two.example" },
  "an unknown path": { ...head, path: "/other/1" },
  "an unknown key": { ...head, key: "key-2" },
  "no key": { ...head, key: null },
  "no key on a keyless route": { ...head, path: "/free/1", key: null },
};

t.test("what is refused at once is refused by the reducer", (t) => {
  const relay = new RelayFixture();
  const at = () => ({ monotonic: relay.now, wall: relay.now });
  t.ok(refusesAtOnce(relay.state, head, at()), "nothing is known yet");
  const free = routeOf({ name: "free", prefix: "/free/", keyless: true });
  relay.learn(
    [upstreamOf("d1", { pool: "desk", role: "service", slots: 6 })],
    routingOf({ routes: [...routingOf().routes, free] }),
  );
  for (const [name, change] of Object.entries(heads)) {
    const refuses = refusesAtOnce(relay.state, change, at());
    const contentDigest = refuses ? null : "digest";
    const exchangeId = name;
    const effects = relay.request({ ...change, exchangeId, contentDigest });
    const failures = only(effects, "send_failure").length;
    t.equal(failures, refuses ? 1 : 0, name);
  }
  t.end();
});

// A routing that arrives in between must not start a request without its content.
t.test("a request that was not looked into is never started", (t) => {
  const relay = new RelayFixture();
  relay.learn([upstreamOf("d1", { pool: "desk", role: "service", slots: 6 })]);
  const [failure] = only(
    relay.request({ contentDigest: null }),
    "send_failure",
  );
  t.match(failure, { error: "not_ready", notRun: true });
  t.equal(relay.state.requests.size, 0);
  t.end();
});
