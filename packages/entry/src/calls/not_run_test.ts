import t from "tap";
import {
  createFixture,
  effectsOf,
  reduceEvent,
} from "../fixtures/entry_fixture.ts";

const at = { monotonic: 1_000, wall: 1_000 };

const cases = [
  { name: "not run if no attempt was sent", notRun: true, expected: true },
  {
    name: "possibly run if an attempt was lost",
    notRun: "unknown",
    expected: "unknown",
  },
] as const;

for (const { name, notRun, expected } of cases) {
  t.test(`a read fails as ${name}`, (t) => {
    const state = createFixture("a", at);
    let effects = reduceEvent(state, {
      kind: "call_requested",
      readerId: "reader",
      requestId: "request",
      workspace: "clinic",
      workClass: "report",
      service: "booking",
      method: "GET",
      path: "/slots/1",
      contentType: undefined,
      body: "",
      key: null,
      digest: "digest",
      traceParent: undefined,
    }, at);
    for (
      let [sent] = effectsOf(effects, "call_service");
      sent !== undefined;
      [sent] = effectsOf(effects, "call_service")
    ) {
      const { callId, upstream } = sent;
      const reason = "connection";
      effects = reduceEvent(
        state,
        { kind: "call_failed", callId, upstream, notRun, reason },
        at,
      );
    }
    const [failed] = effectsOf(effects, "fail_reader");
    t.match(failed?.occurrence, { kind: "no_upstream", notRun: expected });
    t.end();
  });
}
