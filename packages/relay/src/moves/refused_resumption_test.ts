import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";

const engines = ["e1", "e22", "e333", "e4444", "e55555"].map((id) =>
  upstreamOf(id)
);
const exchangeId = "x1";
const handle = "h";

/** Lists engines of which some leave. */
function listLeaving(relay: RelayFixture, leaving: readonly string[]): void {
  relay.list(
    engines.map((vm) =>
      leaving.includes(vm.id) ? { ...vm, state: "leaving" as const } : vm
    ),
  );
}

/** Lets the departure timer fire and lists no other runs. */
function depart(relay: RelayFixture, attemptId: string) {
  const timer = { kind: "depart", exchangeId } as const;
  relay.reduce({ kind: "timer_fired", timer });
  const report = { keptTokens: 0, freeTokens: 0, runs: [], detail: "" };
  const kind = "runs_listed";
  return relay.reduce({ kind, attemptId, exchangeId, report });
}

/** Resumes a stream at an engine, which then leaves; no event arrives there. */
function resumeAtLeaving({ afterMs }: { readonly afterMs: number }) {
  const relay = new RelayFixture();
  relay.learn(engines);
  const [first] = only(relay.generate(), "send_request");
  const attempt = { exchangeId, attemptId: first?.attemptId ?? "" };
  const head = { status: 200, headers: [] };
  const bytes = Buffer.from("id: 7\ndata: x\n\n");
  const events = { head, bytes, count: 7, lastEventId: "7" };
  relay.reduce({ kind: "events_received", ...attempt, ...events });
  const request = relay.state.requests.get(exchangeId);
  const source = request?.upstream ?? "";
  listLeaving(relay, [source, request?.copyUpstream ?? ""]);
  depart(relay, attempt.attemptId);
  const outcome = { kind: "copied", handle } as const;
  relay.reduce({ kind: "generation_copied", ...attempt, outcome });
  const moved = relay.reduce(
    { kind: "generation_copied", ...attempt, outcome },
    900,
  );
  const [resumed] = only(moved, "send_request");
  const attemptId = resumed?.attemptId ?? "";
  const { upstream = "", copyUpstream } = relay.state.requests
    .get(exchangeId) ?? {};
  // Without its copy only the handle of its memory is left.
  listLeaving(relay, [source, upstream, copyUpstream ?? ""]);
  relay.wait(afterMs);
  depart(relay, attemptId);
  const effects = relay.reduce({
    kind: "generation_copied",
    exchangeId,
    attemptId,
    outcome: { kind: "not_running" },
  });
  return { relay, attemptId, effects };
}

// The last event had come from the engine before, so that the stream counted as
// silent, and it was cut though the handle of its memory was kept.
t.test("a resumption is not lost while its refusal is under way", (t) => {
  const { relay, attemptId, effects } = resumeAtLeaving({ afterMs: 100 });
  t.strictSame(only(effects, "abort_answer"), []);
  const refused = relay.reduce({
    kind: "attempt_refused",
    reason: "not_executed",
    exchangeId,
    attemptId,
  });
  const [timer] = only(refused, "set_timer");
  t.equal(timer?.timer.kind, "retry_resumption");
  t.match(relay.state.requests.get(exchangeId)?.resumption, { handle });
  t.end();
});

t.test("a resumption that stays silent is lost if its engine does not know it", (t) => {
  const { relay, effects } = resumeAtLeaving({ afterMs: 700 });
  t.equal(only(effects, "abort_answer").length, 1);
  t.equal(relay.state.requests.size, 0);
  t.end();
});
