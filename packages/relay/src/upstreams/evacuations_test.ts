import type { Vm } from "@lavenderferry/platform";
import { toStoreVersion } from "@lavenderferry/platform";
import t from "tap";
import {
  only,
  RelayFixture,
  routingOf,
  upstreamOf,
} from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";
import { isReady } from "../util/is_ready.ts";

const service = { role: "service", pool: "desk" } as const;

/** Engines and plain services of two data centres, and one engine of a third. */
const vms: readonly Vm[] = [
  upstreamOf("e1", { dataCentre: "a", address: "10.0.0.1:1" }),
  upstreamOf("e2", { dataCentre: "a", address: "10.0.0.1:2" }),
  upstreamOf("e3", { dataCentre: "b", address: "10.0.0.2:3" }),
  upstreamOf("e4", { dataCentre: "c", address: "10.0.0.3:4" }),
  upstreamOf("d1", { dataCentre: "a", address: "10.0.0.1:5", ...service }),
  upstreamOf("d2", { dataCentre: "b", address: "10.0.0.2:6", ...service }),
];

let version = 1;

/** Reads the order to evacuate exactly these data centres. */
function order(relay: RelayFixture, dataCentres: readonly string[]) {
  version += 1;
  return relay.reduce({
    kind: "routing_unchanged",
    confirmedAt: relay.now,
    evacuations: { version, dataCentres },
  });
}

function startRelay(
  dataCentres: readonly string[],
  listed = vms,
  change: { readonly dataCentre?: string } = {},
): RelayFixture {
  const relay = new RelayFixture({ evacuationBoundMs: 5_000, ...change });
  order(relay, dataCentres);
  relay.learn(listed);
  return relay;
}

/** Sends requests of both kinds; returns the upstreams that got any. */
function usedBy(relay: RelayFixture, count = 16): readonly string[] {
  const used = new Set<string>();
  const exchangeIds: string[] = [];
  for (let index = 0; index < count; index++) {
    const [plain, generation] = [`p${relay.now}`, `g${relay.now}`];
    exchangeIds.push(plain, generation);
    const effects = [
      ...relay.request({ exchangeId: plain }),
      ...relay.generate({ exchangeId: generation }),
    ];
    for (const { target, copyTo } of only(effects, "send_request")) {
      used.add(target.id);
      const copy = [...relay.state.upstreams.values()].find((vm) =>
        vm.address === copyTo && !vm.isRemoved
      );
      used.add(copy?.id ?? target.id);
    }
  }
  cancel(relay, exchangeIds);
  return [...used].sort();
}

function cancel(relay: RelayFixture, exchangeIds: readonly string[]): void {
  for (const exchangeId of exchangeIds) {
    relay.reduce({ kind: "caller_disconnected", exchangeId });
  }
}

/** Starts a generation at an upstream and forwards its first events. */
function startAt(relay: RelayFixture, upstream: string) {
  const others: string[] = [];
  for (let index = 1;; index++) {
    const exchangeId = `x${index}`;
    const [sent] = only(relay.generate({ exchangeId }), "send_request");
    const { attemptId = "", target } = sent ?? {};
    if (target?.id === upstream) {
      cancel(relay, others);
      receiveEvents(relay, { exchangeId, attemptId });
      return { exchangeId, attemptId };
    }
    others.push(exchangeId);
  }
}

interface Attempt {
  readonly exchangeId: string;
  readonly attemptId: string;
}

function receiveEvents(relay: RelayFixture, attempt: Attempt, afterMs = 1) {
  return relay.reduce({
    kind: "events_received",
    ...attempt,
    head: { status: 200, headers: [] },
    bytes: Buffer.from("id: 7\ndata: x\n\n"),
    count: 7,
    lastEventId: "7",
  }, afterMs);
}

function listLeaving(relay: RelayFixture, ...ids: readonly string[]) {
  return relay.list(
    vms.map((vm) => ids.includes(vm.id) ? { ...vm, state: "leaving" } : vm),
  );
}

function departures(effects: readonly RelayEffect[]) {
  return only(effects, "set_timer").filter(({ timer }) =>
    timer.kind === "depart"
  );
}

/** Lets a generation leave its engine until a copy of it is under way. */
function depart(relay: RelayFixture, attempt: Attempt) {
  receiveEvents(relay, attempt, 200);
  const { exchangeId } = attempt;
  const timer = { kind: "depart", exchangeId } as const;
  const asked = relay.reduce({ kind: "timer_fired", timer });
  const report = { keptTokens: 0, freeTokens: 0, runs: [], detail: "" };
  return only(asked, "list_runs").length === 0
    ? asked
    : relay.reduce({ kind: "runs_listed", ...attempt, report });
}

// Evacuations were not read at all: requests went on to evacuated engines.
t.test("nothing is sent to engines and services of an evacuated data centre", (t) => {
  const relay = startRelay([]);
  t.strictSame(usedBy(relay), ["d1", "d2", "e1", "e2", "e3", "e4"]);
  order(relay, ["a"]);
  t.strictSame(usedBy(relay), ["d2", "e3", "e4"]);
  order(relay, ["a", "c"]);
  t.strictSame(usedBy(relay), ["d2", "e3"], "two at once");
  order(relay, ["c"]);
  t.strictSame(usedBy(relay), ["d1", "d2", "e1", "e2", "e3"], "one is lifted");
  order(relay, ["a"]);
  t.strictSame(usedBy(relay), ["d2", "e3", "e4"], "and is ordered again");
  relay.list(vms.map((vm) => ({ ...vm, id: `${vm.id}@2` })));
  t.strictSame(usedBy(relay), ["d2@2", "e3@2", "e4@2"], "with new upstreams");
  t.end();
});

t.test("evacuations are followed only where the settings ask for it", (t) => {
  const relay = new RelayFixture();
  order(relay, ["a", "c"]);
  relay.learn(vms);
  t.ok(usedBy(relay).includes("e1"));
  const [reply] = only(relay.receiveExchange({}), "answer_exchange");
  t.equal(reply?.message.evacuations, null);
  t.end();
});

// Without an upstream, requests waited until they were late.
t.test("requests without an upstream outside the evacuation are refused at once", (t) => {
  const relay = startRelay([]);
  for (let index = 0; index < 40; index++) {
    relay.request({ exchangeId: `w${index}` });
  }
  const waiting = [...relay.state.requests.values()]
    .filter(({ phase }) => phase === "waiting").length;
  t.ok(waiting > 0);
  const refused = only(order(relay, ["a", "b"]), "send_failure");
  t.equal(refused.length, waiting);
  const later = only(relay.request({ exchangeId: "x" }), "send_failure");
  for (const failure of [...refused, ...later]) {
    t.match(failure, { error: "no_upstream", notRun: true });
  }
  t.equal(later.length, 1);
  t.equal(only(order(relay, []), "send_failure").length, 0);
  t.equal(only(relay.generate({ exchangeId: "y" }), "send_request").length, 1);
  t.end();
});

// An evacuated engine was taken for a leaving one, and its streams were moved.
t.test("generations stay at an evacuated engine until it gives notice", (t) => {
  const relay = startRelay([]);
  const attempt = startAt(relay, "e1");
  const ordered = order(relay, ["a"]);
  t.strictSame(departures(ordered), []);
  t.strictSame(only(ordered, "drop_attempt"), []);
  t.strictSame(depart(relay, attempt), [], "a timer alone moves nothing");
  t.equal(only(receiveEvents(relay, attempt), "send_events").length, 1);
  t.ok(departures(listLeaving(relay, "e1")).length > 0);
  const [copy] = only(depart(relay, attempt), "copy_generation");
  t.ok(["10.0.0.2:3", "10.0.0.3:4"].includes(copy?.to ?? ""));
  t.end();
});

t.test("an engine that was leaving before stays closed as the order is lifted", (t) => {
  const relay = startRelay(["a"]);
  listLeaving(relay, "e1");
  order(relay, []);
  t.notOk(usedBy(relay).includes("e1"));
  t.ok(usedBy(relay).includes("e2"));
  t.end();
});

t.test("copies are neither made nor used at an evacuated engine", (t) => {
  const relay = startRelay([]);
  const attempt = startAt(relay, "e3");
  const request = relay.state.requests.get(attempt.exchangeId);
  const copied = vms.find(({ id }) => id === request?.copyUpstream);
  t.ok(copied);
  order(relay, [copied?.dataCentre ?? ""]);
  t.equal(request?.copyUpstream, null);
  t.end();
});

/** Starts a move off an engine that is leaving; returns its first copy. */
function startMove(relay: RelayFixture, from: string) {
  const attempt = startAt(relay, from);
  const request = relay.state.requests.get(attempt.exchangeId);
  if (request !== undefined) {
    request.copyUpstream = null;
  }
  listLeaving(relay, from);
  const [copy] = only(depart(relay, attempt), "copy_generation");
  return { attempt, copy };
}

function finishCopy(relay: RelayFixture, attempt: Attempt) {
  const outcome = { kind: "copied", handle: "h" } as const;
  return relay.reduce({ kind: "generation_copied", ...attempt, outcome }, 100);
}

t.test("a move whose target is evacuated meanwhile goes elsewhere", (t) => {
  const relay = startRelay([]);
  const { attempt, copy } = startMove(relay, "e1");
  const target = vms.find(({ address }) => address === copy?.to);
  t.ok(target);
  order(relay, [target?.dataCentre ?? ""]);
  const [next] = only(finishCopy(relay, attempt), "copy_generation");
  const evacuated = vms.filter(({ dataCentre }) =>
    dataCentre === target?.dataCentre
  );
  t.ok(next !== undefined && next.stop === false);
  t.notOk(evacuated.some(({ address }) => address === next?.to));
  t.end();
});

// A generation was sent back to its own engine, which is under evacuation.
t.test("a stopped generation without a target waits and goes on elsewhere", (t) => {
  const relay = startRelay(["a"]);
  order(relay, []);
  const { attempt } = startMove(relay, "e1");
  order(relay, ["a"]);
  finishCopy(relay, attempt);
  const [stopping] = only(finishCopy(relay, attempt), "copy_generation");
  t.match(stopping, { stop: true });
  order(relay, ["a", "b", "c"]);
  const parked = finishCopy(relay, attempt);
  t.strictSame(only(parked, "send_request"), []);
  t.strictSame(only(parked, "abort_answer"), []);
  t.strictSame(depart(relay, attempt), [], "a stopped one is not moved");
  const { exchangeId } = attempt;
  const timer = { kind: "retry_resumption", exchangeId } as const;
  const early = relay.reduce({ kind: "timer_fired", timer }, 100);
  t.strictSame(only(early, "send_request"), []);
  order(relay, ["a", "c"]);
  const resumed = relay.reduce({ kind: "timer_fired", timer }, 100);
  t.match(only(resumed, "send_request"), [{
    target: { id: "e3" },
    resumption: { address: "10.0.0.1:1", handle: "h", lastEventId: "7" },
  }]);
  t.end();
});

t.test("a stopped generation is lost if no engine takes it in time", (t) => {
  const relay = startRelay([]);
  const { attempt } = startMove(relay, "e1");
  order(relay, ["a"]);
  finishCopy(relay, attempt);
  finishCopy(relay, attempt);
  order(relay, ["a", "b", "c"]);
  finishCopy(relay, attempt);
  const { exchangeId } = attempt;
  const timer = { kind: "retry_resumption", exchangeId } as const;
  const effects = Array.from(
    { length: 10 },
    () => relay.reduce({ kind: "timer_fired", timer }, 1_500),
  ).flat();
  t.strictSame(only(effects, "send_request"), []);
  t.equal(only(effects, "abort_answer").length, 1);
  t.notOk(relay.state.requests.has(exchangeId));
  t.end();
});

// A refused resumption was tried again at the same engine whatever was ordered.
t.test("a refused resumption is not tried again at an evacuated engine", (t) => {
  const relay = startRelay([]);
  const { attempt } = startMove(relay, "e1");
  finishCopy(relay, attempt);
  const [resumed] = only(finishCopy(relay, attempt), "send_request");
  const { exchangeId, attemptId = "", target } = { ...attempt, ...resumed };
  const refused = relay.reduce({
    kind: "attempt_refused",
    exchangeId,
    attemptId,
    reason: "not_executed",
  });
  const retry = only(refused, "set_timer").find(({ timer }) =>
    timer.kind === "retry_resumption"
  );
  t.ok(retry);
  const dataCentre = vms.find(({ id }) => id === target?.id)?.dataCentre;
  order(relay, [dataCentre ?? ""]);
  const timer = { kind: "retry_resumption", exchangeId } as const;
  const [next] = only(
    relay.reduce({ kind: "timer_fired", timer }, 200),
    "send_request",
  );
  const place = vms.find(({ id }) => id === next?.target.id)?.dataCentre;
  t.ok(place !== undefined && place !== dataCentre);
  t.equal(next?.resumption?.handle, "h");
  t.end();
});

// Peers of older builds tell of the routing and the upstreams, not of evacuations.
t.test("a relay that starts during an evacuation waits until it knows of it", (t) => {
  const relay = new RelayFixture({ evacuationBoundMs: 5_000 });
  relay.receiveExchange({
    configurations: [{ version: 1, document: JSON.stringify(routingOf()) }],
    configurationVersion: 1,
  });
  relay.list(vms);
  t.notOk(isReady(relay.state));
  const [refused] = only(relay.request(), "send_failure");
  t.match(refused, { error: "not_ready", notRun: true });
  order(relay, ["a"]);
  t.ok(isReady(relay.state));
  t.strictSame(usedBy(relay), ["d2", "e3", "e4"]);
  t.end();
});

t.test("a relay that the store refuses serves by what its peers know", (t) => {
  const relay = new RelayFixture({ evacuationBoundMs: 5_000 });
  relay.learn(vms);
  const error = "store_unavailable";
  relay.reduce({ kind: "routing_failed", error, detail: "" });
  t.ok(isReady(relay.state));
  const evacuations = { version: 1_000, ageMs: 5, dataCentres: ["a"] };
  relay.receiveExchange({ evacuations });
  t.strictSame(usedBy(relay), ["d2", "e3", "e4"]);
  t.end();
});

// The versions of a restored store begin again at those of the copy.
t.test("the latest version of the latest era decides", (t) => {
  const relay = startRelay([]);
  const tell = (
    storeVersion: number,
    dataCentres: string[],
    sequence: number,
  ) =>
    relay.receiveExchange({
      sequence,
      evacuations: { version: storeVersion, ageMs: 5, dataCentres },
    });
  tell(toStoreVersion(1, 500), ["a"], 1);
  tell(toStoreVersion(1, 499), [], 2);
  t.strictSame(usedBy(relay), ["d2", "e3", "e4"], "an older version");
  tell(toStoreVersion(2, 400), ["b"], 3);
  t.strictSame(usedBy(relay), ["d1", "e1", "e2", "e4"], "a restored store");
  tell(toStoreVersion(1, 501), ["a"], 4);
  t.strictSame(usedBy(relay), ["d1", "e1", "e2", "e4"], "its former era");
  tell(Number.NaN, ["c"], 5);
  tell(2 ** 60, ["c"], 6);
  t.strictSame(usedBy(relay), ["d1", "e1", "e2", "e4"], "what is no version");
  t.end();
});
