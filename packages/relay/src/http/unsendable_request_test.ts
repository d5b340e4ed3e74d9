import { connect } from "node:net";
import {
  ConnectionGuard,
  defaultConnectionLimits,
} from "@lavenderferry/runtime";
import t from "tap";
import {
  codec,
  sendAttempt,
  startUpstream,
  unlimitedBudget,
} from "../fixtures/upstream_socket.ts";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEvent } from "../relay_event.ts";
import { CallerExchanges } from "./caller_exchanges.ts";
import { FrontServer } from "./front_server.ts";

/** Requests that Node parses and refuses to send. */
const unsendable = {
  "a blank in a header's name": "GET /look/1 HTTP/1.1\r\nhost: a\r\na b: c\r\n",
  "a tab in its path": "GET /look/\t1 HTTP/1.1\r\nhost: a\r\n",
};

// Such a request closed one sound upstream after the other as unreachable.
for (const [name, head] of Object.entries(unsendable)) {
  t.test(`a request with ${name} is refused at once`, async (t) => {
    const dispatched: RelayEvent[] = [];
    const server = new FrontServer({
      codec,
      exchanges: new CallerExchanges(codec, unlimitedBudget),
      budget: unlimitedBudget,
      refuses: () => false,
      guard: new ConnectionGuard({
        server: "callers",
        limits: defaultConnectionLimits,
      }),
      dispatch: (event) => dispatched.push(event),
    });
    await server.listen({ ip: "127.0.0.1", port: 0 });
    t.teardown(() => server.close());
    const socket = connect(server.port, "127.0.0.1");
    socket.write(`${head}\r\n`);
    const [status] = await new Promise<string[]>((resolve) => {
      socket.once("data", (bytes) => resolve(bytes.toString().split("\r\n")));
      // A request that was taken gets no answer, as nothing reduces its event.
      setTimeout(() => resolve([]), 500);
    });
    socket.destroy();
    t.equal(status, "HTTP/1.1 400 Bad Request");
    t.strictSame(dispatched, [], "it is not offered to any upstream");
  });
}

// The id was sent to the upstream that resumes the stream, and could not be.
t.test("an event whose id cannot be sent is no event", async (t) => {
  for (const id of ["a\u0001b", "x".repeat(2_000)]) {
    const address = await startUpstream(t, (socket) => {
      const body = `id: ${id}\ndata: a\n\n`;
      socket.end(
        "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n" +
          `content-length: ${body.length}\r\n\r\n${body}`,
      );
    });
    const events = await sendAttempt(t, address, { streaming: true });
    t.match(events, [{ kind: "attempt_failed", reason: "invalid_event_id" }]);
  }
});

// The request could be sent to no upstream, and all were taken for unreachable.
t.test("a request that cannot be sent closes no upstream", async (t) => {
  const address = await startUpstream(t, () => undefined);
  const events = await sendAttempt(t, address, { workspace: "two\r\nlines" });
  t.match(events, [{ kind: "attempt_refused", reason: "unsendable" }]);
  const fixture = new RelayFixture();
  fixture.learn(["d1", "d2"].map((id) => upstreamOf(id, { pool: "desk" })));
  const [sent] = only(fixture.request(), "send_request");
  const effects = fixture.reduce({
    kind: "attempt_refused",
    attemptId: sent?.attemptId ?? "",
    exchangeId: "x1",
    reason: "unsendable",
  });
  t.match(only(effects, "send_failure"), [{ error: "internal", notRun: true }]);
  t.strictSame(only(effects, "check_engine"), []);
  t.equal(fixture.state.pools.get("desk")?.openUpstreams.size, 2);
  t.end();
});
