import type { Vm } from "@lavenderferry/platform";
import t from "tap";
import {
  only,
  RelayFixture,
  routingOf,
  upstreamOf,
} from "../fixtures/relay_fixture.ts";
import type { Routing } from "../routing/routing.ts";

const coldTolerance = { over: 1.5, slack: 5 };
const rate = 10;
const bound = coldTolerance.over * rate + coldTolerance.slack;

/** Two engines of one data centre, and one of another. */
const engines: readonly Vm[] = [
  upstreamOf("e1", { address: "10.0.0.1:1" }),
  upstreamOf("e2", { address: "10.0.0.1:2" }),
  upstreamOf("e3", { address: "10.0.0.2:3", dataCentre: "b" }),
];

/** Returns a routing with short generations and rates of cold upstreams. */
function coldRouting(coldRate: number | undefined, version = 1): Routing {
  const routing = routingOf({ version });
  const services = routing.services.map((service) =>
    coldRate === undefined ? service : { ...service, coldRate }
  );
  return { ...routing, services };
}

function startRelay(
  { routing = coldRouting(rate), tolerance = coldTolerance }: {
    readonly routing?: Routing;
    readonly tolerance?: typeof coldTolerance | null;
  } = {},
): RelayFixture {
  const relay = new RelayFixture({ coldTolerance: tolerance });
  relay.reduce({ kind: "members_learned", vms: [], unreadable: [] });
  relay.learn(engines, routing);
  return relay;
}

let rowVersion = 10;

/** Lists the engines of data centre `a` as cold for some time. */
function listCold(relay: RelayFixture, coldMs: number) {
  rowVersion += 1;
  const row = { version: rowVersion, coldMs };
  return relay.list(
    engines.map((vm) => vm.dataCentre === "a" ? { ...vm, ...row } : vm),
  );
}

/** Sends short generations for a second; returns their numbers by engine. */
function sendForSecond(relay: RelayFixture): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < 100; index++) {
    const exchangeId = `${relay.now}`;
    const generation = {
      model: "m",
      promptTokens: 10,
      maxTokens: 8,
      prefix: [],
      sharedBlocks: [],
    };
    const sent = only(
      relay.generate({ exchangeId, generation }),
      "send_request",
    );
    for (const { target: { id } } of sent) {
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    relay.reduce({ kind: "caller_disconnected", exchangeId }, 8);
  }
  return counts;
}

const used = (relay: RelayFixture, id: string) =>
  sendForSecond(relay).get(id) ?? 0;

// Cold engines got as many requests as warm ones and crashed.
t.test("a data centre that comes back cold gets what it bears, others the rest", (t) => {
  const relay = startRelay();
  t.ok(used(relay, "e1") > bound, "a warm engine gets more");
  listCold(relay, 30_000);
  for (let second = 0; second < 5; second++) {
    const counts = sendForSecond(relay);
    for (const id of ["e1", "e2"]) {
      const count = counts.get(id) ?? 0;
      t.ok(count > 0 && count <= bound, `${id}: ${count}`);
    }
    t.ok((counts.get("e3") ?? 0) > 60);
  }
  t.end();
});

t.test("a limit ends when its time has passed or the row says that it is warm", (t) => {
  const relay = startRelay();
  listCold(relay, 3_000);
  relay.wait(1_500);
  t.ok(used(relay, "e1") <= bound);
  relay.wait(1_000);
  relay.reduce({ kind: "timer_fired", timer: { kind: "exchange" } });
  t.ok(used(relay, "e1") > bound, "its time has passed");
  listCold(relay, 60_000);
  t.ok(used(relay, "e1") <= bound, "it is cold again");
  listCold(relay, 0);
  t.ok(used(relay, "e1") > bound, "it is warm");
  t.end();
});

t.test("a row that is read again does not make an upstream cold for longer", (t) => {
  const relay = startRelay();
  const vms = engines.map((vm) => ({ ...vm, version: 5, coldMs: 3_000 }));
  relay.list(vms);
  relay.wait(2_900);
  relay.list(vms);
  relay.wait(200);
  relay.reduce({ kind: "timer_fired", timer: { kind: "exchange" } });
  t.equal(relay.state.requestLimits.cold?.count, 0);
  t.end();
});

t.test("no limit is in force without a tolerance or a rate", (t) => {
  for (
    const relay of [
      startRelay({ tolerance: null }),
      startRelay({ routing: coldRouting(0) }),
    ]
  ) {
    listCold(relay, 60_000);
    t.ok(used(relay, "e1") > bound);
  }
  t.end();
});

// A relay that knew nobody took the whole limit for its own share.
t.test("a relay that has not learned of the others sends to no cold upstream", (t) => {
  const relay = new RelayFixture({ coldTolerance });
  relay.learn(engines, coldRouting(rate));
  listCold(relay, 60_000);
  t.equal(used(relay, "e1"), 0);
  relay.reduce({ kind: "members_learned", vms: [], unreadable: [] });
  t.ok(used(relay, "e1") > 0);
  t.end();
});

t.test("a routing of an older build keeps the rates until it is read itself", (t) => {
  const relay = startRelay();
  listCold(relay, 600_000);
  relay.learn([], coldRouting(undefined, 2));
  listCold(relay, 600_000);
  t.ok(used(relay, "e1") <= bound);
  relay.reduce({
    kind: "routing_learned",
    routing: coldRouting(0, 2),
    confirmedAt: relay.now,
  });
  t.ok(used(relay, "e1") > bound);
  t.end();
});

// Each generation of a leaving engine was moved to the same cold one.
t.test("moves go to cold engines only as far as these bear it", (t) => {
  const chosen = (relay: RelayFixture) =>
    Array.from({ length: 120 }, () => {
      const { dispatcher } = relay.state.pools.get("models") ?? {};
      const at = { monotonic: relay.now, wall: relay.now };
      return dispatcher?.chooseTransferTarget({
        requestId: "x",
        workspace: "",
        workClass: "write",
        model: "m",
        promptTokens: 10,
        maxTokens: 8,
        prefix: [],
        targets: {
          firstTokenMs: 1_800,
          betweenTokensMs: 180,
          stallMs: 180,
          preemptionsPerThousand: 50,
          completionMs: 39_000,
          percent: 95,
        },
        arrivedAt: relay.now,
      }, { maxCandidates: 8, at });
    });
  const relay = startRelay();
  listCold(relay, 600_000);
  relay.wait(2_000);
  t.strictSame([...new Set(chosen(relay))], ["e3"]);
  rowVersion += 1;
  relay.list(
    engines.map((vm) => ({ ...vm, version: rowVersion, coldMs: 600_000 })),
  );
  relay.wait(2_000);
  const targets = chosen(relay);
  for (const { id } of engines) {
    const count = targets.filter((target) => target === id).length;
    t.ok(count > 0 && count <= bound, `${id}: ${count}`);
  }
  t.end();
});

// All generations of an ended engine went on at once at an engine that had become
// cold after it had got their copies.
t.test("resumptions from copies go to a cold engine as far as it bears them", (t) => {
  const relay = startRelay();
  const [e1, e2, e3] = engines;
  relay.list([e1, e2].filter((vm) => vm !== undefined));
  const head = { status: 200, headers: [] };
  const attempts = Array.from({ length: 12 }, (_, index) => {
    const exchangeId = `x${index}`;
    const sent = only(relay.generate({ exchangeId }), "send_request")[0];
    const attemptId = sent?.attemptId ?? "";
    const stream = { bytes: Buffer.from("x"), lastEventId: "7", head };
    const attempt = { exchangeId, attemptId };
    relay.reduce({ kind: "events_received", ...attempt, ...stream, count: 7 });
    return { ...attempt, upstream: sent?.target.id, copyTo: sent?.copyTo };
  }).filter(({ upstream, copyTo }) => upstream === "e1" && copyTo !== null);
  t.ok(attempts.length > 3, `${attempts.length} copies`);
  relay.list([e1, e2, e3].filter((vm) => vm !== undefined));
  rowVersion += 1;
  const cold = { version: rowVersion, coldMs: 600_000 };
  relay.list(engines.map((vm) => vm.id === "e2" ? { ...vm, ...cold } : vm));
  relay.wait(2_000);
  const reason = "connection_lost";
  const resumed = attempts.flatMap(({ exchangeId, attemptId }) =>
    only(
      relay.reduce({
        kind: "attempt_failed",
        exchangeId,
        attemptId,
        reason,
      }, 0),
      "send_request",
    )
  );
  t.ok(resumed.filter(({ target: { id } }) => id === "e2").length <= 1);
  t.ok(resumed.some(({ target: { id } }) => id === "e3"), "others bear more");
  t.ok(resumed.every(({ resumption }) => resumption?.address === e2?.address));
  t.end();
});

// A process out of contact is taken for ended, but goes on sending.
t.test("a relay that is out of contact keeps its share of a cold upstream", (t) => {
  const relay = startRelay();
  const vms = Array.from({ length: 5 }, (_, index) => ({
    ...upstreamOf(`front-${index + 2}`),
    role: "entry" as const,
    peers: `10.0.1.${index}:1`,
  }));
  relay.reduce({ kind: "members_learned", vms, unreadable: [] });
  listCold(relay, 600_000);
  const shared = used(relay, "e1") + used(relay, "e1");
  relay.receiveExchange({
    members: vms.map(({ id }) => ({
      id,
      epoch: "e",
      sequence: 9,
      state: "gone",
      role: "entry",
      dataCentre: "a",
      region: "north",
      address: "",
      peers: "",
    })),
  });
  t.ok(used(relay, "e1") <= shared / 2 + 1);
  t.end();
});
