import t from "tap";
import {
  createFixture,
  effectsOf,
  reduceEvent,
} from "../fixtures/entry_fixture.ts";

const at = { monotonic: 1_000, wall: 1_000 };

/** Repeats a call whose key has a record with a status; returns the effects. */
function repeatRecorded(status: number) {
  const state = createFixture("a", at);
  const claim = reduceEvent(state, {
    kind: "call_requested",
    readerId: "reader",
    requestId: "repeat",
    workspace: "clinic",
    workClass: "report",
    service: "booking",
    method: "POST",
    path: "/slots/1",
    contentType: undefined,
    body: "",
    key: "key",
    digest: "digest",
    traceParent: undefined,
  }, at);
  const [commit] = effectsOf(claim, "commit_record");
  const value = {
    state: "answered",
    digest: "digest",
    nonce: "another call",
    requestId: "first",
    resolveBy: 0,
    expiresAt: 9_000,
    status,
    contentType: "application/json",
    body: "{}",
  };
  const row = { key: "calls/key", value, version: 1 };
  return reduceEvent(state, {
    kind: "record_committed",
    callId: commit?.callId ?? "",
    result: { kind: "conflict", rows: [row] },
  }, at);
}

// Earlier builds recorded answers with any status, and repeats got it again.
t.test("a recorded answer with an invalid status is not sent", (t) => {
  for (const status of [0, 101, 600, 999]) {
    const effects = repeatRecorded(status);
    t.strictSame(effectsOf(effects, "send_answer"), []);
    const [failed] = effectsOf(effects, "fail_reader");
    t.match(failed?.occurrence, { kind: "key_unresolved" }, `${status}`);
  }
  const [sent] = effectsOf(repeatRecorded(201), "send_answer");
  t.match(sent, { answer: { status: 201 }, replayed: true });
  t.end();
});
