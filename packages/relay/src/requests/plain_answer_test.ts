import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RequestPhase } from "./relayed_request.ts";

const engines = ["e1", "e22", "e333"].map((id) => upstreamOf(id));
const statuses = [200, 204, 302, 404, 500, 504, 599];

/** Brings a generation into a phase; returns the id of its attempt. */
const bringInto: Readonly<
  Record<
    Exclude<RequestPhase, "waiting">,
    (relay: RelayFixture, attemptId: string) => string
  >
> = {
  sent: (_relay, attemptId) => attemptId,
  streaming: (relay, attemptId) => {
    relay.reduce({
      kind: "events_received",
      attemptId,
      exchangeId: "x1",
      head: { status: 200, headers: [] },
      bytes: Buffer.from("id: 9\ndata: x\n\n"),
      count: 9,
      lastEventId: "9",
    }, 1_000);
    relay.wait(2_000);
    const resumed = relay.reduce({
      kind: "attempt_failed",
      attemptId,
      exchangeId: "x1",
      reason: "connection_lost",
      connectionLost: true,
    });
    const [sent] = only(resumed, "send_request");
    return sent?.attemptId ?? "";
  },
};

// The head of such an answer was written after that of the stream, which threw
// an exception and ended the process.
for (const [phase, enter] of Object.entries(bringInto)) {
  for (const status of statuses) {
    t.test(`a plain answer ${status} to a request that is ${phase}`, (t) => {
      const relay = new RelayFixture();
      relay.learn(engines);
      const [sent] = only(relay.generate(), "send_request");
      const attemptId = enter(relay, sent?.attemptId ?? "");
      const answer = { status, headers: [], body: Buffer.from("no stream") };
      t.equal(relay.state.requests.get("x1")?.phase, phase);
      const kind = "answer_received";
      const event = { kind, attemptId, exchangeId: "x1", answer } as const;
      const effects = relay.reduce(event);
      const answers = only(effects, "send_answer");
      if (phase === "sent") {
        t.match(answers, [{ answer: { status } }]);
        t.equal(relay.state.requests.size, 0);
      } else {
        t.strictSame(answers, [], "no second head is written");
        t.match(only(effects, "drop_attempt"), [{ attemptId }]);
        t.equal(
          only(effects, "abort_answer").length +
            only(effects, "send_request").length,
          1,
          "the stream is cut or goes on elsewhere",
        );
      }
      t.end();
    });
  }
}
