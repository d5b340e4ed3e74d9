import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";

const failure = {
  kind: "relaying_failed",
  exchangeId: "x1",
  effect: "send_events",
  detail: "an exception",
} as const;

// A request whose exchange had failed stayed at its upstream until its deadline.
t.test("a request whose exchange has failed is ended", (t) => {
  const fixture = new RelayFixture();
  fixture.learn([upstreamOf("e1")]);
  const [sent] = only(fixture.generate(), "send_request");
  const effects = fixture.reduce(failure);
  t.match(only(effects, "drop_attempt"), [{ attemptId: sent?.attemptId }]);
  t.match(only(effects, "log_decision"), [{
    decision: { kind: "drop", subject: "r1", reason: "relaying_failed" },
  }]);
  t.equal(fixture.state.requests.size, 0);
  t.end();
});

t.test("the failure of an answer that had ended is recorded", (t) => {
  const effects = new RelayFixture().reduce(failure);
  t.match(only(effects, "log_decision"), [{
    decision: { subject: "x1", figures: { effect: "send_events" } },
  }]);
  t.end();
});
