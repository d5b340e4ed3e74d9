import type { Vm } from "@lavenderferry/platform";
import t from "tap";
import type { CopyOutcome, RunningGeneration } from "../relay_event.ts";
import type { RelayEffect } from "../relay_effect.ts";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";

const head = { status: 200, headers: [] };
const engines = ["e1", "e22", "e333"].map((id) => upstreamOf(id));

/** Generations that run with their first events passed on. */
function streaming(): {
  readonly relay: RelayFixture;
  readonly attemptId: string;
  readonly upstream: string;
  readonly copyAt: string | null;
} {
  const relay = new RelayFixture();
  relay.learn(engines);
  const [sent] = only(relay.generate(), "send_request");
  const attemptId = sent?.attemptId ?? "";
  passEvents(relay, attemptId, 7);
  relay.wait(2_000);
  const request = relay.state.requests.get("x1");
  const { upstream = "", copyAt = null } = request ?? {};
  return { relay, attemptId, upstream, copyAt };
}

function passEvents(
  relay: RelayFixture,
  attemptId: string,
  last: number,
): readonly RelayEffect[] {
  return relay.reduce({
    kind: "events_received",
    attemptId,
    exchangeId: "x1",
    head,
    bytes: Buffer.from(`id: ${last}\ndata: x\n\n`),
    count: last,
    lastEventId: String(last),
  }, 1_000);
}

function leave(relay: RelayFixture, id: string): readonly RelayEffect[] {
  const vms = engines.map((vm) =>
    vm.id === id ? { ...vm, state: "leaving" as const } : vm
  );
  return relay.reduce({ kind: "upstreams_learned", vms, unreadable: [] });
}

function evacuate(relay: RelayFixture, afterMs: number) {
  const timer = { kind: "evacuate", exchangeId: "x1" } as const;
  return listRuns(relay, relay.reduce({ kind: "timer_fired", timer }, afterMs));
}

/** Answers the question whether the copy is there. */
function check(relay: RelayFixture, attemptId: string, keptTokens: number) {
  const exchangeId = "x1";
  const kind = "copy_checked";
  const report = { keptTokens, freeTokens: 0, runs: [], detail: "" };
  const effects = relay.reduce({ kind, attemptId, exchangeId, report });
  return listRuns(relay, effects);
}

/** Answers the question, if it was asked, what else an engine runs. */
function listRuns(
  relay: RelayFixture,
  effects: readonly RelayEffect[],
  runs: readonly RunningGeneration[] = [],
) {
  const [asked] = only(effects, "list_runs");
  if (asked === undefined) {
    return effects;
  }
  const { attemptId, exchangeId } = asked;
  const report = { keptTokens: 0, freeTokens: 0, runs, detail: "" };
  const kind = "runs_listed";
  return relay.reduce({ kind, attemptId, exchangeId, report });
}

function copied(
  relay: RelayFixture,
  attemptId: string,
  outcome: CopyOutcome,
): readonly RelayEffect[] {
  const exchangeId = "x1";
  return relay.reduce(
    { kind: "generation_copied", attemptId, exchangeId, outcome },
    100,
  );
}

t.test("a long generation is given an engine that keeps a copy", (t) => {
  const { upstream, copyAt } = streaming();
  t.ok(copyAt !== null && copyAt !== upstream);
  t.end();
});

t.test("a generation goes on at its copy when its engine leaves", (t) => {
  const { relay, attemptId, upstream, copyAt } = streaming();
  const noticed = leave(relay, upstream);
  const [timer] = only(noticed, "set_timer").filter(({ timer }) =>
    timer.kind === "evacuate"
  );
  t.ok((timer?.at ?? 0) > relay.now);
  const target = engines.find(({ id }) => id === copyAt);
  const asked = evacuate(relay, 1_000);
  t.match(only(asked, "check_copy"), [{ address: target?.address }]);
  t.equal(only(asked, "drop_attempt").length, 0);
  const effects = check(relay, attemptId, 3_028);
  t.match(only(effects, "drop_attempt"), [{ attemptId }]);
  t.match(only(effects, "send_request"), [{
    target: { address: target?.address },
    resumption: { address: target?.address, handle: "r1", lastEventId: "7" },
  }]);
  const order = effects.map(({ kind }) => kind);
  t.ok(order.indexOf("drop_attempt") < order.indexOf("send_request"));
  t.end();
});

t.test("a copy that is not there stops nothing", (t) => {
  const { relay, attemptId, upstream, copyAt } = streaming();
  leave(relay, upstream);
  evacuate(relay, 1_000);
  const effects = check(relay, attemptId, 100);
  t.equal(only(effects, "drop_attempt").length, 0);
  t.match(only(effects, "copy_generation"), [{ stop: false }]);
  const target = engines.find(({ id }) => id === copyAt)?.address;
  t.not(only(effects, "copy_generation")[0]?.to, target);
  t.ok(only(passEvents(relay, attemptId, 8), "send_events").length === 1);
  t.end();
});

t.test("an incomplete copy is not gone on at", (t) => {
  const relay = new RelayFixture();
  relay.learn(engines);
  const [sent] = only(relay.generate(), "send_request");
  passEvents(relay, sent?.attemptId ?? "", 7);
  relay.wait(1_600);
  const { upstream = "", copyAt } = relay.state.requests.get("x1") ?? {};
  const noticed = leave(relay, upstream);
  const [timer] = only(noticed, "set_timer").filter(({ timer }) =>
    timer.kind === "evacuate"
  );
  t.ok((timer?.at ?? 0) - relay.now > 800, "it is given time to arrive");
  const early = evacuate(relay, 500);
  t.equal(only(early, "check_copy").length, 0);
  t.match(only(early, "copy_generation"), [{ stop: false }]);
  t.not(only(early, "copy_generation")[0]?.to, copyAt);
  t.end();
});

t.test("one that just began when its engine leaves is moved at once", (t) => {
  const relay = new RelayFixture();
  relay.learn(engines);
  relay.generate();
  const { upstream = "" } = relay.state.requests.get("x1") ?? {};
  const noticed = leave(relay, upstream);
  const [timer] = only(noticed, "set_timer").filter(({ timer }) =>
    timer.kind === "evacuate"
  );
  t.equal(timer?.at, relay.now);
  t.end();
});

t.test("one whose move fails goes on at its copy", (t) => {
  const { relay, attemptId, upstream, copyAt } = streaming();
  const target = engines.find(({ id }) => id === copyAt)?.address;
  const resumption = { address: target, handle: "r1", lastEventId: "7" };
  leave(relay, upstream);
  evacuate(relay, 1_000);
  t.match(only(check(relay, attemptId, 100), "copy_generation"), [{}]);
  const cut = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "connection_lost",
  });
  t.match(only(cut, "send_request"), [{ resumption }]);
  t.end();
});

t.test("one whose stop got no answer goes on at its copy", (t) => {
  const { relay, attemptId, upstream, copyAt } = streaming();
  const target = engines.find(({ id }) => id === copyAt)?.address;
  const resumption = { address: target, handle: "r1", lastEventId: "7" };
  leave(relay, upstream);
  evacuate(relay, 1_000);
  check(relay, attemptId, 100);
  const again = copied(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(again, "copy_generation"), [{ stop: true }]);
  endStream(relay, attemptId);
  const lost = copied(relay, attemptId, { kind: "unknown", detail: "reset" });
  const order = lost.map(({ kind }) => kind);
  t.match(only(lost, "send_request"), [{ resumption }]);
  t.ok(order.indexOf("drop_attempt") < order.indexOf("send_request"));
  t.end();
});

t.test("an engine that a generation moves to is not forgotten", (t) => {
  const { relay, attemptId, upstream, copyAt } = streaming();
  leave(relay, copyAt ?? "");
  leave(relay, upstream);
  const [move] = only(evacuate(relay, 1), "copy_generation");
  copied(relay, attemptId, { kind: "copied", handle: "h" });
  const vms = engines.filter(({ address }) => address !== move?.to);
  relay.reduce({ kind: "upstreams_learned", vms, unreadable: [] });
  const moved = copied(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(moved, "send_request"), [{ target: { address: move?.to } }]);
  t.end();
});

t.test("a resumption that is refused is asked for again", (t) => {
  const { relay, attemptId } = streaming();
  const event = { attemptId, exchangeId: "x1" } as const;
  const died = relay.reduce({
    kind: "attempt_failed",
    reason: "ECONNRESET",
    ...event,
  });
  let [sent] = only(died, "send_request");
  let tries = 0;
  let waitedMs = 0;
  while (sent !== undefined) {
    const effects = relay.reduce({
      kind: "attempt_refused",
      reason: "not_executed",
      exchangeId: "x1",
      attemptId: sent.attemptId,
    });
    tries += 1;
    if (only(effects, "cut_answer").length > 0) {
      break;
    }
    const [wait] = only(effects, "set_timer");
    const timer = { kind: "resume_again", exchangeId: "x1" } as const;
    t.same(wait?.timer, timer);
    const afterMs = (wait?.at ?? 0) - relay.now;
    waitedMs += afterMs;
    const again = relay.reduce({ kind: "timer_fired", timer }, afterMs);
    t.match(only(again, "send_request"), [{ resumption: sent.resumption }]);
    [sent] = only(again, "send_request");
  }
  t.ok(waitedMs >= 3_000, "for as long as room is freed and copies arrive");
  t.equal(tries, 7, "and cut after a bounded number of times");
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("events of the former engine are dropped after a move", (t) => {
  const { relay, attemptId, upstream } = streaming();
  leave(relay, upstream);
  evacuate(relay, 1_000);
  check(relay, attemptId, 3_028);
  t.strictSame(passEvents(relay, attemptId, 8), []);
  t.end();
});

t.test("a generation goes on at its copy when its engine dies", (t) => {
  const { relay, attemptId } = streaming();
  const effects = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "ECONNRESET",
  });
  t.match(only(effects, "send_request"), [
    { resumption: { handle: "r1", lastEventId: "7" } },
  ]);
  t.equal(only(effects, "cut_answer").length, 0);
  t.end();
});

t.test("a copy whose engine leaves is given up", (t) => {
  const { relay, attemptId, copyAt } = streaming();
  leave(relay, copyAt ?? "");
  t.equal(relay.state.requests.get("x1")?.copyAt, null);
  const effects = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "ECONNRESET",
  });
  t.equal(only(effects, "send_request").length, 0);
  t.equal(only(effects, "cut_answer").length, 1);
  t.end();
});

t.test("without a copy the engine moves the generation", (t) => {
  const { relay, attemptId, upstream, copyAt } = streaming();
  leave(relay, copyAt ?? "");
  const vms = engines.map((vm) =>
    vm.id === upstream || vm.id === copyAt
      ? { ...vm, state: "leaving" as const }
      : vm
  );
  relay.reduce({ kind: "upstreams_learned", vms, unreadable: [] });
  const [first] = only(evacuate(relay, 1), "copy_generation");
  t.match(first, { stop: false, requestId: "r1" });
  const again = copied(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(again, "copy_generation"), [{ stop: true }]);
  // The engine closes the stream of a generation that stops.
  const cut = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "connection_lost",
  });
  t.strictSame(cut, []);
  const moved = copied(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(moved, "send_request"), [{
    target: { address: first?.to },
    resumption: { address: first?.from, handle: "h", lastEventId: "7" },
  }]);
  t.end();
});

/** Ends the stream of a generation that was told to stop. */
function endStream(relay: RelayFixture, attemptId: string) {
  const effects = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "connection_lost",
  });
  t.strictSame(effects, []);
}

t.test("a move that stopped a generation and got no answer is lost", (t) => {
  const { relay, attemptId, upstream, copyAt } = streaming();
  leave(relay, copyAt ?? "");
  leave(relay, upstream);
  evacuate(relay, 1);
  copied(relay, attemptId, { kind: "copied", handle: "h" });
  endStream(relay, attemptId);
  const effects = copied(relay, attemptId, {
    kind: "unknown",
    detail: "timed out",
  });
  t.equal(only(effects, "cut_answer").length, 1);
  t.equal(only(effects, "send_request").length, 0);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("one whose engine refuses to stop it runs on", (t) => {
  for (
    const outcome of [
      { kind: "no_room", handle: null, detail: "" },
      { kind: "unknown", detail: "timed out" },
      { kind: "not_running" },
    ] as const
  ) {
    const { relay, attemptId } = stopping();
    const effects = copied(relay, attemptId, outcome);
    t.equal(only(effects, "cut_answer").length, 0);
    t.equal(only(effects, "drop_attempt").length, 0);
    t.match(only(effects, "set_timer"), [{ timer: { kind: "evacuate" } }]);
    const passed = passEvents(relay, attemptId, 8);
    t.equal(only(passed, "send_events").length, 1);
    const cut = relay.reduce({
      kind: "attempt_failed",
      attemptId,
      exchangeId: "x1",
      reason: "connection_lost",
    });
    t.equal(only(cut, "cut_answer").length, 1, "until its engine ends it");
  }
  t.end();
});

t.test("one that stopped stays stopped on its way elsewhere", (t) => {
  const spare = upstreamOf("e4444");
  const { relay, attemptId } = stopping([spare]);
  endStream(relay, attemptId);
  const refused = { kind: "no_room", handle: "h", detail: "" } as const;
  const next = copied(relay, attemptId, refused);
  t.match(only(next, "copy_generation"), [{ stop: true }]);
  const effects = copied(relay, attemptId, {
    kind: "unknown",
    detail: "timed out",
  });
  t.equal(only(effects, "cut_answer").length, 1);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("a copy that was refused leaves the generation where it is", (t) => {
  const { relay, attemptId, upstream, copyAt } = streaming();
  leave(relay, copyAt ?? "");
  leave(relay, upstream);
  evacuate(relay, 1);
  const effects = copied(relay, attemptId, { kind: "not_running" });
  t.equal(only(effects, "cut_answer").length, 0);
  t.ok(only(passEvents(relay, attemptId, 8), "send_events").length === 1);
  t.end();
});

t.test("a failure of the engine itself frees the copy", (t) => {
  const relay = new RelayFixture();
  relay.learn(engines);
  const [sent] = only(relay.generate(), "send_request");
  const dispatcher = relay.state.pools.get("models")?.dispatcher;
  t.ok(dispatcher?.shares().some(({ tokens }) => tokens > 0));
  relay.reduce({
    kind: "answer_received",
    attemptId: sent?.attemptId ?? "",
    exchangeId: "x1",
    answer: { status: 500, headers: [], body: Buffer.from("failed") },
  });
  t.ok(dispatcher?.shares().every(({ tokens }) => tokens === 0));
  t.end();
});

/** A generation that was told to stop while its memory is copied. */
function stopping(others: readonly Vm[] = []) {
  const { relay, attemptId, upstream, copyAt } = streaming();
  leave(relay, copyAt ?? "");
  const rest = engines.filter(({ id }) => id !== copyAt && id !== upstream);
  const vms = [
    ...others,
    ...rest,
    ...engines.filter((vm) => !rest.includes(vm))
      .map((vm) => ({ ...vm, state: "leaving" as const })),
  ];
  relay.reduce({ kind: "upstreams_learned", vms, unreadable: [] });
  evacuate(relay, 1);
  const asked = copied(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(asked, "copy_generation"), [{ stop: true }]);
  return { relay, attemptId, upstream };
}

t.test("one that stopped and finds no room goes on where it was", (t) => {
  const { relay, attemptId, upstream } = stopping();
  const source = engines.find(({ id }) => id === upstream)?.address;
  const effects = copied(relay, attemptId, {
    kind: "no_room",
    handle: "h",
    detail: "",
  });
  t.match(only(effects, "send_request"), [{
    target: { address: source },
    resumption: { address: source, handle: "h", lastEventId: "7" },
  }]);
  t.match(only(effects, "set_timer"), [{ timer: { kind: "evacuate" } }]);
  t.end();
});

t.test("one that stopped and has no handle is lost at once", (t) => {
  const { relay, attemptId } = stopping();
  endStream(relay, attemptId);
  const effects = copied(relay, attemptId, {
    kind: "no_room",
    handle: null,
    detail: "",
  });
  t.equal(only(effects, "cut_answer").length, 1);
  t.equal(relay.state.requests.size, 0);
  t.end();
});
