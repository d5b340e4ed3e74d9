import type { Vm } from "@lavenderferry/platform";
import t from "tap";
import type { CopyOutcome, RunningGeneration } from "../relay_event.ts";
import type { RelayEffect } from "../relay_effect.ts";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";

const head = { status: 200, headers: [] };
const engines = ["e1", "e22", "e333"].map((id) => upstreamOf(id));

/** Starts a generation, forwards its first events and waits for its copy. */
function startStreaming(): {
  readonly relay: RelayFixture;
  readonly attemptId: string;
  readonly upstream: string;
  readonly copyUpstream: string | null;
} {
  const relay = new RelayFixture();
  relay.learn(engines);
  const [sent] = only(relay.generate(), "send_request");
  const attemptId = sent?.attemptId ?? "";
  receiveEvents(relay, attemptId, 7);
  relay.wait(2_000);
  const request = relay.state.requests.get("x1");
  const { upstream = "", copyUpstream = null } = request ?? {};
  return { relay, attemptId, upstream, copyUpstream };
}

function receiveEvents(
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

function listAsLeaving(
  relay: RelayFixture,
  id: string,
): readonly RelayEffect[] {
  const vms = engines.map((vm) =>
    vm.id === id ? { ...vm, state: "leaving" as const } : vm
  );
  return relay.list(vms);
}

function evacuate(relay: RelayFixture, afterMs: number) {
  continueStream(relay, afterMs);
  const timer = { kind: "depart", exchangeId: "x1" } as const;
  return answerListRuns(relay, relay.reduce({ kind: "timer_fired", timer }, 0));
}

/** Receives a part of a stream that is not silent. */
function continueStream(relay: RelayFixture, afterMs: number): void {
  const { attemptId = "" } = relay.state.requests.get("x1") ?? {};
  relay.reduce({
    kind: "events_received",
    attemptId,
    exchangeId: "x1",
    head,
    bytes: Buffer.alloc(0),
    count: 0,
    lastEventId: null,
  }, afterMs);
}

/** Reports how many tokens the engine with the copy keeps. */
function reportCopy(
  relay: RelayFixture,
  attemptId: string,
  keptTokens: number,
) {
  const exchangeId = "x1";
  const kind = "copy_checked";
  const report = { keptTokens, freeTokens: 0, runs: [], detail: "" };
  const effects = relay.reduce({ kind, attemptId, exchangeId, report });
  return answerListRuns(relay, effects);
}

/** Answers the `list_runs` effect if there is one. */
function answerListRuns(
  relay: RelayFixture,
  effects: readonly RelayEffect[],
  runs: readonly RunningGeneration[] = [],
) {
  const [query] = only(effects, "list_runs");
  if (query === undefined) {
    return effects;
  }
  const { attemptId, exchangeId } = query;
  const report = { keptTokens: 0, freeTokens: 0, runs, detail: "" };
  const kind = "runs_listed";
  return relay.reduce({ kind, attemptId, exchangeId, report });
}

function finishCopy(
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

t.test("a long generation gets a copy at another engine", (t) => {
  const { upstream, copyUpstream } = startStreaming();
  t.ok(copyUpstream !== null && copyUpstream !== upstream);
  t.end();
});

t.test("a generation is resumed from its copy when its engine leaves", (t) => {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  const noticed = listAsLeaving(relay, upstream);
  const [timer] = only(noticed, "set_timer").filter(({ timer }) =>
    timer.kind === "depart"
  );
  t.ok((timer?.at ?? 0) > relay.now);
  const target = engines.find(({ id }) => id === copyUpstream);
  const evacuation = evacuate(relay, 1_000);
  t.match(only(evacuation, "check_copy"), [{ address: target?.address }]);
  t.equal(only(evacuation, "drop_attempt").length, 0);
  const effects = reportCopy(relay, attemptId, 3_028);
  t.match(only(effects, "drop_attempt"), [{ attemptId }]);
  t.match(only(effects, "send_request"), [{
    target: { address: target?.address },
    resumption: { address: target?.address, handle: "r1", lastEventId: "7" },
  }]);
  const order = effects.map(({ kind }) => kind);
  t.ok(order.indexOf("drop_attempt") < order.indexOf("send_request"));
  t.end();
});

t.test("a generation with a missing copy keeps running and is moved", (t) => {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  listAsLeaving(relay, upstream);
  evacuate(relay, 1_000);
  const effects = reportCopy(relay, attemptId, 100);
  t.equal(only(effects, "drop_attempt").length, 0);
  t.match(only(effects, "copy_generation"), [{ stop: false }]);
  const target = engines.find(({ id }) => id === copyUpstream)?.address;
  t.not(only(effects, "copy_generation")[0]?.to, target);
  t.ok(only(receiveEvents(relay, attemptId, 8), "send_events").length === 1);
  t.end();
});

t.test("a generation is not resumed from an incomplete copy", (t) => {
  const relay = new RelayFixture();
  relay.learn(engines);
  const [sent] = only(relay.generate(), "send_request");
  receiveEvents(relay, sent?.attemptId ?? "", 7);
  relay.wait(1_600);
  const { upstream = "", copyUpstream } = relay.state.requests.get("x1") ?? {};
  const noticed = listAsLeaving(relay, upstream);
  const [timer] = only(noticed, "set_timer").filter(({ timer }) =>
    timer.kind === "depart"
  );
  t.ok((timer?.at ?? 0) - relay.now > 800, "the copy gets time to complete");
  const early = evacuate(relay, 500);
  t.equal(only(early, "check_copy").length, 0);
  t.match(only(early, "copy_generation"), [{ stop: false }]);
  t.not(only(early, "copy_generation")[0]?.to, copyUpstream);
  t.end();
});

t.test("a new generation is evacuated at once when its engine leaves", (t) => {
  const relay = new RelayFixture();
  relay.learn(engines);
  relay.generate();
  const { upstream = "" } = relay.state.requests.get("x1") ?? {};
  const noticed = listAsLeaving(relay, upstream);
  const [timer] = only(noticed, "set_timer").filter(({ timer }) =>
    timer.kind === "depart"
  );
  t.equal(timer?.at, relay.now);
  t.end();
});

t.test("a generation whose move fails is resumed from its copy", (t) => {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  const target = engines.find(({ id }) => id === copyUpstream)?.address;
  const resumption = { address: target, handle: "r1", lastEventId: "7" };
  listAsLeaving(relay, upstream);
  evacuate(relay, 1_000);
  t.match(only(reportCopy(relay, attemptId, 100), "copy_generation"), [{}]);
  const failed = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "connection_lost",
  });
  t.match(only(failed, "send_request"), [{ resumption }]);
  t.end();
});

t.test("a stopped generation falls back to its copy if its move fails", (t) => {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  const target = engines.find(({ id }) => id === copyUpstream)?.address;
  const resumption = { address: target, handle: "r1", lastEventId: "7" };
  listAsLeaving(relay, upstream);
  evacuate(relay, 1_000);
  reportCopy(relay, attemptId, 100);
  const again = finishCopy(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(again, "copy_generation"), [{ stop: true }]);
  endStream(relay, attemptId);
  const lost = finishCopy(relay, attemptId, {
    kind: "unknown",
    detail: "reset",
  });
  const order = lost.map(({ kind }) => kind);
  t.match(only(lost, "send_request"), [{ resumption }]);
  t.ok(order.indexOf("drop_attempt") < order.indexOf("send_request"));
  t.end();
});

t.test("the target of a move is kept when it is no longer listed", (t) => {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  listAsLeaving(relay, copyUpstream ?? "");
  listAsLeaving(relay, upstream);
  const [move] = only(evacuate(relay, 1), "copy_generation");
  finishCopy(relay, attemptId, { kind: "copied", handle: "h" });
  const vms = engines.filter(({ address }) => address !== move?.to);
  relay.list(vms);
  const moved = finishCopy(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(moved, "send_request"), [{ target: { address: move?.to } }]);
  t.end();
});

t.test("a refused resumption is retried a bounded number of times", (t) => {
  const { relay, attemptId } = startStreaming();
  const event = { attemptId, exchangeId: "x1" } as const;
  const failed = relay.reduce({
    kind: "attempt_failed",
    reason: "ECONNRESET",
    ...event,
  });
  let [sent] = only(failed, "send_request");
  let attempts = 0;
  let totalDelayMs = 0;
  while (sent !== undefined) {
    const effects = relay.reduce({
      kind: "attempt_refused",
      reason: "not_executed",
      exchangeId: "x1",
      attemptId: sent.attemptId,
    });
    attempts += 1;
    if (only(effects, "abort_answer").length > 0) {
      break;
    }
    const [scheduled] = only(effects, "set_timer");
    const timer = { kind: "retry_resumption", exchangeId: "x1" } as const;
    t.same(scheduled?.timer, timer);
    const retryDelayMs = (scheduled?.at ?? 0) - relay.now;
    totalDelayMs += retryDelayMs;
    const again = relay.reduce({ kind: "timer_fired", timer }, retryDelayMs);
    t.match(only(again, "send_request"), [{ resumption: sent.resumption }]);
    [sent] = only(again, "send_request");
  }
  t.ok(
    totalDelayMs >= 3_000,
    "retries last while copies arrive and memory becomes free",
  );
  t.equal(attempts, 7, "the number of attempts is bounded");
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("events of the previous engine are dropped after a resumption", (t) => {
  const { relay, attemptId, upstream } = startStreaming();
  listAsLeaving(relay, upstream);
  evacuate(relay, 1_000);
  reportCopy(relay, attemptId, 3_028);
  t.strictSame(receiveEvents(relay, attemptId, 8), []);
  t.end();
});

t.test("a generation is resumed from its copy when its engine fails", (t) => {
  const { relay, attemptId } = startStreaming();
  const effects = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "ECONNRESET",
  });
  t.match(only(effects, "send_request"), [
    { resumption: { handle: "r1", lastEventId: "7" } },
  ]);
  t.equal(only(effects, "abort_answer").length, 0);
  t.end();
});

t.test("a copy is released when its engine leaves", (t) => {
  const { relay, attemptId, copyUpstream } = startStreaming();
  listAsLeaving(relay, copyUpstream ?? "");
  t.equal(relay.state.requests.get("x1")?.copyUpstream, null);
  const effects = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "ECONNRESET",
  });
  t.equal(only(effects, "send_request").length, 0);
  t.equal(only(effects, "abort_answer").length, 1);
  t.end();
});

t.test("a generation without a copy is copied again once stopped", (t) => {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  listAsLeaving(relay, copyUpstream ?? "");
  const vms = engines.map((vm) =>
    vm.id === upstream || vm.id === copyUpstream
      ? { ...vm, state: "leaving" as const }
      : vm
  );
  relay.list(vms);
  const [first] = only(evacuate(relay, 1), "copy_generation");
  t.match(first, { stop: false, requestId: "r1" });
  const again = finishCopy(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(again, "copy_generation"), [{ stop: true }]);
  // The engine closes the stream of a generation that was asked to stop.
  const failed = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "connection_lost",
  });
  t.strictSame(failed, []);
  const moved = finishCopy(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(moved, "send_request"), [{
    target: { address: first?.to },
    resumption: { address: first?.from, handle: "h", lastEventId: "7" },
  }]);
  t.end();
});

/** Ends the stream of a generation that was asked to stop. */
function endStream(relay: RelayFixture, attemptId: string) {
  const effects = relay.reduce({
    kind: "attempt_failed",
    attemptId,
    exchangeId: "x1",
    reason: "connection_lost",
  });
  t.strictSame(effects, []);
}

t.test("a stopped generation without a copy is lost if its move fails", (t) => {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  listAsLeaving(relay, copyUpstream ?? "");
  listAsLeaving(relay, upstream);
  evacuate(relay, 1);
  finishCopy(relay, attemptId, { kind: "copied", handle: "h" });
  endStream(relay, attemptId);
  const effects = finishCopy(relay, attemptId, {
    kind: "unknown",
    detail: "timed out",
  });
  t.equal(only(effects, "abort_answer").length, 1);
  t.equal(only(effects, "send_request").length, 0);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("a generation keeps running if its engine refuses to stop it", (t) => {
  for (
    const outcome of [
      { kind: "no_room", handle: null, detail: "" },
      { kind: "unknown", detail: "timed out" },
      { kind: "not_running" },
    ] as const
  ) {
    const { relay, attemptId } = startStopping();
    const effects = finishCopy(relay, attemptId, outcome);
    t.equal(only(effects, "abort_answer").length, 0);
    t.equal(only(effects, "drop_attempt").length, 0);
    t.match(only(effects, "set_timer"), [{ timer: { kind: "depart" } }]);
    const forwarded = receiveEvents(relay, attemptId, 8);
    t.equal(only(forwarded, "send_events").length, 1);
    const failed = relay.reduce({
      kind: "attempt_failed",
      attemptId,
      exchangeId: "x1",
      reason: "connection_lost",
    });
    t.equal(
      only(failed, "abort_answer").length,
      1,
      "the generation is lost when its engine ends",
    );
  }
  t.end();
});

t.test("a stopped generation stays stopped when its move is retried", (t) => {
  const spare = upstreamOf("e4444");
  const { relay, attemptId } = startStopping([spare]);
  endStream(relay, attemptId);
  const refused = { kind: "no_room", handle: "h", detail: "" } as const;
  const next = finishCopy(relay, attemptId, refused);
  t.match(only(next, "copy_generation"), [{ stop: true }]);
  const effects = finishCopy(relay, attemptId, {
    kind: "unknown",
    detail: "timed out",
  });
  t.equal(only(effects, "abort_answer").length, 1);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

t.test("a generation stays at its engine if the copy is refused", (t) => {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  listAsLeaving(relay, copyUpstream ?? "");
  listAsLeaving(relay, upstream);
  evacuate(relay, 1);
  const effects = finishCopy(relay, attemptId, { kind: "not_running" });
  t.equal(only(effects, "abort_answer").length, 0);
  t.ok(only(receiveEvents(relay, attemptId, 8), "send_events").length === 1);
  t.end();
});

t.test("an error answer releases the memory reserved for the copy", (t) => {
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

/** Starts a generation whose engine was asked to stop and copy it. */
function startStopping(others: readonly Vm[] = []) {
  const { relay, attemptId, upstream, copyUpstream } = startStreaming();
  listAsLeaving(relay, copyUpstream ?? "");
  const rest = engines.filter(({ id }) =>
    id !== copyUpstream && id !== upstream
  );
  const vms = [
    ...others,
    ...rest,
    ...engines.filter((vm) => !rest.includes(vm))
      .map((vm) => ({ ...vm, state: "leaving" as const })),
  ];
  relay.list(vms);
  evacuate(relay, 1);
  const effects = finishCopy(relay, attemptId, { kind: "copied", handle: "h" });
  t.match(only(effects, "copy_generation"), [{ stop: true }]);
  return { relay, attemptId, upstream };
}

t.test("a stopped generation resumes at its engine if others are full", (t) => {
  const { relay, attemptId, upstream } = startStopping();
  const source = engines.find(({ id }) => id === upstream)?.address;
  const effects = finishCopy(relay, attemptId, {
    kind: "no_room",
    handle: "h",
    detail: "",
  });
  t.match(only(effects, "send_request"), [{
    target: { address: source },
    resumption: { address: source, handle: "h", lastEventId: "7" },
  }]);
  t.match(only(effects, "set_timer"), [{ timer: { kind: "depart" } }]);
  t.end();
});

t.test("a stopped generation without a handle is lost", (t) => {
  const { relay, attemptId } = startStopping();
  endStream(relay, attemptId);
  const effects = finishCopy(relay, attemptId, {
    kind: "no_room",
    handle: null,
    detail: "",
  });
  t.equal(only(effects, "abort_answer").length, 1);
  t.equal(relay.state.requests.size, 0);
  t.end();
});

// Each process sees an engine as empty that all others have filled with copies.
t.test("a process that does not know all work in flight orders no copies", (t) => {
  for (
    const { memberCount, isCopied } of [
      { memberCount: 12, isCopied: true },
      { memberCount: 20, isCopied: false },
    ]
  ) {
    const relay = new RelayFixture();
    relay.learn([upstreamOf("e1"), upstreamOf("e2")]);
    const vms = Array.from({ length: memberCount }, (_, index) => ({
      id: `front-${index + 2}`,
      role: "entry" as const,
      dataCentre: "a",
      region: "north",
      state: "live" as const,
      address: `10.0.0.${index}:1`,
      peers: `10.0.0.${index}:2`,
      checksFence: false,
    }));
    relay.reduce({ kind: "members_learned", vms, unreadable: [] });
    const received = relay.generate();
    // In a large fleet the request waits for reports, which do not arrive.
    const effects = [...received, ...relay.expireReports(received)];
    const [sent] = only(effects, "send_request");
    t.not(sent, undefined, `${memberCount} peers`);
    t.equal(sent?.copyTo !== null, isCopied, `${memberCount} peers`);
  }
  t.end();
});
