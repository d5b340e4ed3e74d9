import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import { createRunner } from "../fixtures/upstream_socket.ts";
import type { CopyOutcome, EngineReport } from "../relay_event.ts";

const engines = ["e1", "e22", "e333"].map((id) => upstreamOf(id));
const runs = [{ requestId: "r1", tokens: 4_000, events: 90 }];
const report = { keptTokens: 4_000, freeTokens: 0, runs, detail: "" };

/** Starts a generation with a complete copy, silent for `silentMs`. */
function startSilent(silentMs: number) {
  const relay = new RelayFixture();
  relay.learn(engines);
  const [sent] = only(relay.generate(), "send_request");
  const attemptId = sent?.attemptId ?? "";
  const receive = (afterMs: number) =>
    relay.reduce({
      kind: "events_received",
      attemptId,
      exchangeId: "x1",
      head: { status: 200, headers: [] },
      bytes: Buffer.from("id: 7\ndata: x\n\n"),
      count: 1,
      lastEventId: "7",
    }, afterMs);
  receive(1_000);
  receive(4_000);
  relay.wait(silentMs);
  const request = relay.state.requests.get("x1");
  const addressOf = (id: string | null | undefined) =>
    engines.find((vm) => vm.id === id)?.address;
  return {
    relay,
    attemptId,
    upstream: request?.upstream ?? "",
    from: addressOf(request?.upstream),
    to: addressOf(request?.copyUpstream),
  };
}

/** Lets the generation's engine leave; returns what follows the checks. */
function leave(
  { relay, attemptId, upstream }: ReturnType<typeof startSilent>,
  engineReport: EngineReport = report,
) {
  relay.list(
    engines.map((vm) =>
      vm.id === upstream ? { ...vm, state: "leaving" as const } : vm
    ),
  );
  const exchangeId = "x1";
  const timer = { kind: "depart", exchangeId } as const;
  relay.reduce({ kind: "timer_fired", timer });
  const checked = relay.reduce({
    kind: "copy_checked",
    attemptId,
    exchangeId,
    report,
  });
  const [check] = only(checked, "check_run");
  return check === undefined
    ? checked
    : relay.reduce({ ...check, kind: "run_checked", report: engineReport });
}

// The close of a silent connection did not reach the engine, so that the stream
// ran at two engines.
t.test("a silent generation is stopped before it goes on elsewhere", (t) => {
  const silent = startSilent(3_000);
  const { relay, attemptId, from, to } = silent;
  const effects = leave(silent);
  t.strictSame(only(effects, "send_request"), [], "it does not go on yet");
  t.match(only(effects, "copy_generation"), [{ from, to, stop: true }]);
  const outcome = { kind: "copied", handle: "h" } as const;
  const exchangeId = "x1";
  const stopped = relay.reduce({
    kind: "generation_copied",
    attemptId,
    exchangeId,
    outcome,
  });
  t.match(only(stopped, "send_request"), [{
    target: { address: to },
    resumption: { address: from, handle: "h", lastEventId: "7" },
  }]);
  t.end();
});

const endedOutcomes: readonly CopyOutcome[] = [
  { kind: "not_running" },
  { kind: "unknown", detail: "connect ECONNREFUSED" },
  { kind: "no_room", handle: "h", detail: "" },
];

for (const outcome of endedOutcomes) {
  t.test(`a silent generation goes on from its copy if ${outcome.kind}`, (t) => {
    const silent = startSilent(3_000);
    const { relay, attemptId, to } = silent;
    leave(silent);
    const kind = "generation_copied";
    const event = { kind, attemptId, exchangeId: "x1", outcome } as const;
    t.match(only(relay.reduce(event), "send_request"), [{
      target: { address: to },
      resumption: { address: to, handle: "r1" },
    }]);
    t.end();
  });
}

// A generation that rests was moved before it was resumed, though its connection
// carried the close.
for (const run of [[], [{ requestId: "r1", tokens: 4_000, events: 3 }]]) {
  t.test(`a generation is resumed at once if ${run.length} run rests`, (t) => {
    const effects = leave(startSilent(3_000), { ...report, runs: run });
    t.strictSame(only(effects, "copy_generation"), []);
    t.equal(only(effects, "send_request").length, 1);
    t.end();
  });
}

t.test("a silent generation is stopped if its engine does not report", (t) => {
  const silent = { ...report, runs: [], detail: "timed out" };
  const effects = leave(startSilent(3_000), silent);
  t.match(only(effects, "copy_generation"), [{ stop: true }]);
  t.end();
});

t.test("a generation that is not silent goes on without a call", (t) => {
  const effects = leave(startSilent(100));
  t.strictSame(only(effects, "copy_generation"), []);
  t.equal(only(effects, "send_request").length, 1);
  t.end();
});

// The end of a stopped generation does not arrive over a silent connection, and
// the move was tried again until the deadline.
t.test("a silent generation that its engine does not know has ended", (t) => {
  const silent = startSilent(3_000);
  const { relay, attemptId, upstream } = silent;
  const copy = relay.state.requests.get("x1")?.copyUpstream;
  relay.list(
    engines.map((vm) =>
      vm.id === copy ? { ...vm, state: "leaving" as const } : vm
    ),
  );
  const leaving = leave({ ...silent, upstream });
  const kind = "runs_listed";
  const exchangeId = "x1";
  t.ok(leaving);
  relay.reduce({ kind, attemptId, exchangeId, report });
  const effects = relay.reduce({
    kind: "generation_copied",
    attemptId,
    exchangeId,
    outcome: { kind: "not_running" },
  });
  t.equal(only(effects, "abort_answer").length, 1);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

// The engine worked on a stream that nobody read, until its deadline.
t.test("the engine of a silent stream is asked to stop when its caller leaves", (t) => {
  const { relay, from, to } = startSilent(3_000);
  const kind = "caller_disconnected";
  const effects = relay.reduce({ kind, exchangeId: "x1" });
  t.match(only(effects, "stop_generation"), [{ requestId: "r1", from, to }]);
  t.end();
});

t.test("the memory of a generation that was only stopped is freed", async (t) => {
  const calls: unknown[] = [];
  const outcome = { kind: "no_room", handle: "h", detail: "" } as const;
  const { handlers } = createRunner({
    copy: (copy) => {
      calls.push(copy);
      return Promise.resolve(outcome);
    },
    release: (address, handle) => {
      calls.push({ address, handle });
      return Promise.resolve();
    },
  });
  const effect = { requestId: "r1", from: "10.0.0.1:1", to: "10.0.0.2:1" };
  const events: unknown[] = [];
  handlers.stop_generation({ kind: "stop_generation", ...effect }, (event) => {
    events.push(event);
  });
  await new Promise((resolve) => setTimeout(resolve, 200));
  t.strictSame(calls, [
    { ...effect, stop: true },
    { address: effect.from, handle: "h" },
  ]);
  const { requestId, from } = effect;
  const kind = "generation_stopped";
  t.strictSame(events, [{ kind, requestId, from, outcome }]);
});
