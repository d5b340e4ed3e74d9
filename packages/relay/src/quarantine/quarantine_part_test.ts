import type { EngineChecked } from "@lavenderferry/fleet";
import t from "tap";
import { only, RelayFixture, upstreamOf } from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";
import type { GenerationDemand } from "../requests/relayed_request.ts";

const engines = ["e1", "e22", "e333", "e4444", "e55555", "e666666"];

function createRelay(): RelayFixture {
  const relay = new RelayFixture();
  relay.learn(engines.map((id) => upstreamOf(id)));
  return relay;
}

function demandOf(...sharedBlocks: readonly string[]): GenerationDemand {
  return {
    model: "m",
    promptTokens: 500,
    maxTokens: 40,
    prefix: [],
    sharedBlocks,
  };
}

const ends = ["a/1", "b/1", "c/1"];

/** Returns a peer's record of a block under which three engines ended. */
function recordOf(block: string) {
  return { block, clearances: 0, ends, changedAt: 1_700_000_000_000 };
}

let nextExchange = 1;

/** Sends a request for a generation; returns its attempt. */
function start(relay: RelayFixture, ...blocks: readonly string[]) {
  const exchangeId = `x${nextExchange++}`;
  const generation = demandOf(...blocks);
  const effects = relay.generate({ exchangeId, generation });
  const [sent] = only(effects, "send_request");
  const attemptId = sent?.attemptId ?? "";
  return { effects, exchangeId, attemptId, upstream: upstreamIn(sent) };
}

type Started = ReturnType<typeof start>;

function upstreamIn(sent: { target: { instance: string } } | undefined) {
  return sent?.target.instance.replace("instance-", "") ?? "";
}

/** Loses the connection of an attempt. */
function lose(relay: RelayFixture, { exchangeId, attemptId }: Started) {
  return relay.reduce({
    kind: "attempt_failed",
    exchangeId,
    attemptId,
    reason: "connection_lost",
    connectionLost: true,
  });
}

/** Fires the timer that checks an engine; answers with whether it ended. */
function check(
  relay: RelayFixture,
  upstream: string,
  outcome: EngineChecked["outcome"] = "ended",
): readonly RelayEffect[] {
  const timer = { kind: "check_engine", upstream } as const;
  const effects = relay.reduce({ kind: "timer_fired", timer }, 150);
  return only(effects, "check_engine").length === 0
    ? effects
    : relay.reduce({ kind: "engine_checked", upstream, outcome });
}

/** Lets engines end, one after the other, under prompts with the blocks. */
function endEngines(
  relay: RelayFixture,
  count: number,
  ...blocks: readonly string[]
): readonly RelayEffect[] {
  const effects: RelayEffect[] = [];
  for (let index = 0; index < count; index++) {
    const started = start(relay, `own-${index}`, ...blocks);
    lose(relay, started);
    effects.push(...check(relay, started.upstream));
    const remaining = engines.filter((id) =>
      !relay.state.closeReasons.has(id) && id !== started.upstream
    );
    relay.list(remaining.map((id) => upstreamOf(id)));
    relay.wait(500);
    relay.list(engines.map((id) => upstreamOf(`${id}-${nextExchange}`)));
  }
  return effects;
}

function failures(effects: readonly RelayEffect[]) {
  return only(effects, "send_failure").map(({ error, notRun }) => ({
    error,
    notRun,
  }));
}

/** Completes a generation. */
function finish(relay: RelayFixture, { exchangeId, attemptId }: Started) {
  const attempt = { exchangeId, attemptId, head: { status: 200, headers: [] } };
  const bytes = Buffer.from("");
  const events = { bytes, count: 4, lastEventId: "4" };
  relay.reduce({ kind: "events_received", ...attempt, ...events });
  return relay.reduce({ kind: "stream_ended", ...attempt, framed: true });
}

t.test("prompts with a block that ends engines are refused", (t) => {
  const relay = createRelay();
  endEngines(relay, 2, "bad");
  t.equal(only(start(relay, "bad").effects, "send_request").length, 1);
  endEngines(relay, 1, "bad");
  const { effects } = start(relay, "other", "bad");
  t.strictSame(failures(effects), [
    { error: "request_quarantined", notRun: true },
  ]);
  t.equal(only(effects, "send_request").length, 0);
  t.equal(only(start(relay, "other").effects, "send_request").length, 1);
  t.end();
});

t.test("a quarantine ends requests that no engine has begun", (t) => {
  const relay = createRelay();
  endEngines(relay, 2, "bad");
  const sent = start(relay, "bad");
  const begun = start(relay, "bad");
  const event = {
    kind: "events_received",
    exchangeId: begun.exchangeId,
    attemptId: begun.attemptId,
    head: { status: 200, headers: [] },
    bytes: Buffer.from(""),
    count: 1,
    lastEventId: "1",
  } as const;
  relay.reduce(event);
  const effects = endEngines(relay, 1, "bad");
  t.match(only(effects, "drop_attempt"), [{ attemptId: sent.attemptId }]);
  t.strictSame(failures(effects), [
    { error: "upstream_lost", notRun: "unknown" },
  ]);
  t.ok(relay.state.requests.has(begun.exchangeId));
  t.end();
});

t.test("connections that are lost together do not quarantine prompts", (t) => {
  const relay = createRelay();
  for (let round = 0; round < 4; round++) {
    const started = Array.from({ length: 6 }, () => start(relay, "block"));
    const upstreams = new Set(started.map(({ upstream }) => upstream));
    t.ok(upstreams.size >= 3);
    for (const attempt of started) {
      lose(relay, attempt);
    }
    for (const upstream of upstreams) {
      check(relay, upstream);
    }
    relay.wait(3_000);
  }
  t.strictSame(relay.state.suspects.quarantines, []);
  t.equal(only(start(relay, "block").effects, "send_request").length, 1);
  t.end();
});

t.test("engines that still accept connections have not ended", (t) => {
  const relay = createRelay();
  for (let index = 0; index < 4; index++) {
    const started = start(relay, "block");
    lose(relay, started);
    check(relay, started.upstream, "listening");
    relay.wait(3_000);
  }
  t.equal(only(start(relay, "block").effects, "send_request").length, 1);
  t.end();
});

t.test("engines that end after their notice are not held against prompts", (t) => {
  const relay = createRelay();
  const started = start(relay, "block");
  const vms = engines.map((id) =>
    upstreamOf(id, id === started.upstream ? { state: "leaving" } : {})
  );
  relay.list(vms);
  const effects = lose(relay, started);
  const timers = only(effects, "set_timer").map(({ timer }) => timer.kind);
  t.notOk(timers.includes("check_engine"));
  t.end();
});

t.test("a complete answer ends the suspicion against its blocks", (t) => {
  const relay = createRelay();
  endEngines(relay, 2, "shared");
  finish(relay, start(relay, "shared"));
  endEngines(relay, 2, "shared");
  t.equal(only(start(relay, "shared").effects, "send_request").length, 1);
  t.end();
});

t.test("a prompt under which an engine ended is not resumed elsewhere", (t) => {
  const relay = createRelay();
  const generation = { ...demandOf("bad"), maxTokens: 1_000 };
  const effects = relay.generate({ exchangeId: "long", generation });
  const [sent] = only(effects, "send_request");
  t.not(sent?.copyTo, null, "another engine keeps a copy");
  const lost = relay.reduce({
    kind: "attempt_failed",
    exchangeId: "long",
    attemptId: sent?.attemptId ?? "",
    reason: "connection_lost",
    connectionLost: true,
  });
  t.equal(only(lost, "send_request").length, 0);
  t.match(failures(lost), [{ error: "upstream_lost" }]);
  t.end();
});

t.test("processes learn from their peers which prompts end engines", (t) => {
  const relay = createRelay();
  const effects = relay.receiveExchange({
    suspects: [recordOf("bad")],
  });
  t.match(
    only(effects, "log_decision").map(({ decision }) => decision),
    [{ reason: "suspect_block", subject: "bad" }],
  );
  t.strictSame(failures(start(relay, "bad").effects), [
    { error: "request_quarantined", notRun: true },
  ]);
  const [answered] = only(
    relay.receiveExchange({ sequence: 2 }),
    "answer_exchange",
  );
  t.match(answered?.message.suspects ?? [], [{ block: "bad" }]);
  t.end();
});

t.test("a process corrects a peer that has not seen a block answered", (t) => {
  const relay = createRelay();
  finish(relay, start(relay, "shared"));
  relay.receiveExchange({
    suspects: [recordOf("shared")],
  });
  t.equal(only(start(relay, "shared").effects, "send_request").length, 1);
  const [answered] = only(
    relay.receiveExchange({ sequence: 2 }),
    "answer_exchange",
  );
  t.match(answered?.message.suspects, [
    { block: "shared", clearances: 1, ends: [] },
  ]);
  t.end();
});

t.test("silent engines count as ended once the store removes them", (t) => {
  const relay = createRelay();
  for (let index = 0; index < 3; index++) {
    const started = start(relay, "bad");
    lose(relay, started);
    check(relay, started.upstream, "silent");
    t.equal(relay.state.suspects.quarantines.length, 0);
    const vms = engines.filter((id) => id !== started.upstream)
      .map((id) => upstreamOf(id));
    relay.list(vms, { afterMs: 3_000 });
    relay.learn(engines.map((id) => upstreamOf(id)));
  }
  t.strictSame(failures(start(relay, "bad").effects), [
    { error: "request_quarantined", notRun: true },
  ]);
  t.end();
});

t.test("a quarantine is written to the store", (t) => {
  const relay = createRelay();
  const timer = { kind: "state_suspects" } as const;
  const [scheduled] = only(endEngines(relay, 3, "bad"), "set_timer")
    .filter(({ timer: { kind } }) => kind === timer.kind);
  t.match(scheduled, { timer });
  const [write] = only(
    relay.reduce({ kind: "timer_fired", timer }),
    "state_suspects",
  );
  t.match(write?.records, [{ block: "bad", clearances: 0 }]);
  t.end();
});

t.test("a quarantine outlives a restart of all processes", (t) => {
  const relay = createRelay();
  relay.reduce({ kind: "started" });
  const listed = { kind: "members_learned", vms: [], unreadable: [] } as const;
  t.equal(only(relay.reduce(listed), "read_suspects").length, 1);
  const records = [recordOf("bad")];
  relay.reduce({ kind: "suspects_learned", records });
  t.strictSame(failures(start(relay, "bad").effects), [
    { error: "request_quarantined", notRun: true },
  ]);
  t.end();
});

t.test("a quarantine that another process wrote meanwhile is merged", (t) => {
  const relay = createRelay();
  endEngines(relay, 3, "bad");
  const records = [recordOf("worse")];
  const effects = relay.reduce({ kind: "suspects_conflicted", records });
  const timers = only(effects, "set_timer").map(({ timer }) => timer.kind);
  t.ok(timers.includes("state_suspects"));
  const timer = { kind: "state_suspects" } as const;
  const [write] = only(
    relay.reduce({ kind: "timer_fired", timer }),
    "state_suspects",
  );
  t.strictSame(write?.records.map(({ block }) => block), ["bad", "worse"]);
  t.end();
});

t.test("an unframed stream that ends early does not clear its blocks", (t) => {
  const relay = createRelay();
  endEngines(relay, 2, "bad");
  const { exchangeId, attemptId } = start(relay, "bad");
  const attempt = { exchangeId, attemptId, head: { status: 200, headers: [] } };
  const events = { bytes: Buffer.from(""), count: 1, lastEventId: "1" };
  relay.reduce({ kind: "events_received", ...attempt, ...events });
  relay.reduce({ kind: "stream_ended", ...attempt, framed: false });
  endEngines(relay, 1, "bad");
  t.match(failures(start(relay, "bad").effects), [
    { error: "request_quarantined" },
  ]);
  t.end();
});

t.test("two engines that end together are both held against prompts", (t) => {
  const relay = createRelay();
  for (let round = 0; round < 4; round++) {
    const started = [start(relay, "bad")];
    for (let count = 0; count < 8 && started.length < 2; count++) {
      const other = start(relay, "bad");
      if (other.upstream !== started[0]?.upstream) {
        started.push(other);
      }
    }
    for (const attempt of started) {
      lose(relay, attempt);
    }
    for (const { upstream } of started) {
      check(relay, upstream);
    }
    relay.wait(3_000);
    relay.list(engines.map((id) => upstreamOf(`${id}-${round}`)));
  }
  t.match(failures(start(relay, "bad").effects), [
    { error: "request_quarantined" },
  ]);
  t.end();
});

const services = ["d1", "d22", "d333", "d4444"];

function listServices(relay: RelayFixture, ids: readonly string[]): void {
  const service = { pool: "desk", role: "service" as const, slots: 6 };
  relay.list(ids.map((id) => upstreamOf(id, service)));
}

function createDeskRelay(): RelayFixture {
  const relay = new RelayFixture();
  relay.learn([]);
  listServices(relay, services);
  return relay;
}

/** Sends a lookup with the given content; returns its first attempt. */
function look(relay: RelayFixture, contentDigest: string) {
  const exchangeId = `x${nextExchange++}`;
  const path = "/look/1";
  const effects = relay.request({ exchangeId, path, contentDigest });
  const [sent] = only(effects, "send_request");
  const attemptId = sent?.attemptId ?? "";
  return { effects, exchangeId, attemptId, upstream: upstreamIn(sent) };
}

/** Lets services end under a request; the store lists others afterwards. */
function endServices(
  relay: RelayFixture,
  count: number,
  contentDigest: string,
): readonly RelayEffect[] {
  const effects: RelayEffect[] = [];
  for (let index = 0; index < count; index++) {
    const first = look(relay, contentDigest);
    const [again] = only(lose(relay, first), "send_request");
    const second = { ...first, attemptId: again?.attemptId ?? "" };
    effects.push(...check(relay, first.upstream));
    relay.reduce({
      kind: "caller_disconnected",
      exchangeId: second.exchangeId,
    });
    relay.wait(3_000);
    listServices(relay, services.map((id) => `${id}-${nextExchange}`));
  }
  return effects;
}

t.test("a request without a prompt that ends upstreams is refused", (t) => {
  const relay = createDeskRelay();
  endServices(relay, 3, "bad");
  t.strictSame(failures(look(relay, "bad").effects), [
    { error: "request_quarantined", notRun: true },
  ]);
  t.equal(only(look(relay, "other").effects, "send_request").length, 1);
  t.end();
});

t.test("a quarantine ends the request's own next attempt", (t) => {
  const relay = createDeskRelay();
  endServices(relay, 2, "bad");
  const first = look(relay, "bad");
  const [again] = only(lose(relay, first), "send_request");
  t.not(again, undefined, "the first loss is followed by another attempt");
  const effects = check(relay, first.upstream);
  t.match(only(effects, "drop_attempt"), [{ attemptId: again?.attemptId }]);
  t.strictSame(failures(effects), [
    { error: "upstream_lost", notRun: "unknown" },
  ]);
  t.end();
});

t.test("a request that ends an upstream after its quarantine is not repeated", (t) => {
  const relay = createDeskRelay();
  endServices(relay, 3, "bad");
  relay.wait(910_000);
  const first = look(relay, "bad");
  t.not(first.attemptId, "", "the quarantine has ended");
  const effects = lose(relay, first);
  t.equal(only(effects, "send_request").length, 0);
  t.strictSame(failures(effects), [
    { error: "upstream_lost", notRun: "unknown" },
  ]);
  t.strictSame(failures(look(relay, "bad").effects), [
    { error: "request_quarantined", notRun: true },
  ]);
  t.end();
});

t.test("a request that is answered after its quarantine is sound again", (t) => {
  const relay = createDeskRelay();
  endServices(relay, 3, "bad");
  relay.wait(910_000);
  const { exchangeId, attemptId } = look(relay, "bad");
  const answer = { status: 200, headers: [], body: Buffer.alloc(0) };
  relay.reduce({ kind: "answer_received", exchangeId, attemptId, answer });
  t.strictSame(relay.state.suspects.quarantines, []);
  endServices(relay, 1, "bad");
  t.equal(only(look(relay, "bad").effects, "send_request").length, 1);
  t.end();
});

t.test("services that end at once are held against equal requests", (t) => {
  const relay = createDeskRelay();
  const attempts = Array.from({ length: 12 }, () => look(relay, "bad"));
  const upstreams = [...new Set(attempts.map(({ upstream }) => upstream))];
  t.ok(upstreams.length >= 3, "three services run it");
  for (const attempt of attempts) {
    lose(relay, attempt);
  }
  for (const upstream of upstreams) {
    check(relay, upstream);
  }
  listServices(relay, ["new"]);
  t.match(failures(look(relay, "bad").effects), [
    { error: "request_quarantined" },
  ]);
  t.end();
});

t.test("services that only close connections are not held against requests", (t) => {
  const relay = createDeskRelay();
  const attempts = Array.from({ length: 12 }, () => look(relay, "sound"));
  for (const attempt of attempts) {
    lose(relay, attempt);
  }
  for (const id of services) {
    check(relay, id, "listening");
  }
  t.strictSame(relay.state.suspects.quarantines, []);
  t.end();
});

t.test("a generation without shared blocks that ends engines is refused", (t) => {
  const relay = createRelay();
  for (let index = 0; index < 3; index++) {
    const exchangeId = `x${nextExchange++}`;
    const generation = demandOf();
    const change = { exchangeId, generation, contentDigest: "bad" };
    const [sent] = only(relay.generate(change), "send_request");
    const upstream = upstreamIn(sent);
    const attemptId = sent?.attemptId ?? "";
    lose(relay, { effects: [], exchangeId, attemptId, upstream });
    check(relay, upstream);
    const open = [...relay.state.upstreams.keys()]
      .filter((id) => id !== upstream);
    relay.list(open.map((id) => upstreamOf(id)));
  }
  const change = { generation: demandOf(), contentDigest: "bad" };
  t.match(failures(relay.generate(change)), [{ error: "request_quarantined" }]);
  t.end();
});

// A record from the far future was never too old, here and at all peers.
t.test("records with numbers that no process writes are ignored", (t) => {
  const wall = 1_700_000_000_000;
  for (
    const change of [
      { changedAt: 2 ** 64 },
      { changedAt: wall + 3_600_000 },
      { changedAt: NaN },
      { clearances: 0.5 },
      { clearances: Infinity },
    ]
  ) {
    const relay = createRelay();
    const suspects = [{ ...recordOf("p"), ends: [...ends], ...change }];
    relay.receiveExchange({ suspects });
    t.strictSame(relay.state.suspects.quarantines, []);
  }
  const relay = createRelay();
  relay.receiveExchange({ suspects: [{ ...recordOf("p"), ends: [...ends] }] });
  t.equal(relay.state.suspects.quarantines.length, 1);
  t.end();
});

t.test("a process that does not read the store learns quarantines from peers", (t) => {
  const relay = createRelay();
  relay.reduce({ kind: "started" });
  const vms = Array.from({ length: 40 }, (_, index) => ({
    id: `front-${index + 2}`,
    role: "entry" as const,
    dataCentre: "a",
    region: "north",
    state: "live" as const,
    address: `10.0.0.${index}:1`,
    peers: `10.0.0.${index}:2`,
    checksFence: false,
  }));
  const listed = { kind: "members_learned", vms, unreadable: [] } as const;
  const effects = relay.reduce(listed);
  t.not(relay.state.fleet.readerRank, "reader");
  t.equal(only(effects, "read_suspects").length, 0);
  const timer = { kind: "exchange" } as const;
  const sent = only(
    relay.reduce({ kind: "timer_fired", timer }, 300),
    "send_exchange",
  );
  t.ok(
    sent.length > 0 && sent.every(({ message }) => message.full),
    "asks its first peers for all that they know",
  );
  relay.receiveExchange({ suspects: [recordOf("bad")] });
  t.strictSame(failures(start(relay, "bad").effects), [
    { error: "request_quarantined", notRun: true },
  ]);
  t.end();
});
