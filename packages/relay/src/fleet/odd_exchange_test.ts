import fc from "fast-check";
import t from "tap";
import type { RelayEvent } from "../relay_event.ts";
import {
  only,
  RelayFixture,
  routingOf,
  upstreamOf,
} from "../fixtures/relay_fixture.ts";

const anyNumber = fc.oneof(
  fc.nat(10),
  fc.constantFrom(-1, 0.5, 2 ** 40, 2 ** 53, 2 ** 64, NaN, Infinity),
);

const anyText = fc.oneof(
  fc.string(),
  fc.constantFrom("d1", "front-1", "front-2", "live", "gone", "entry", "bad"),
  fc.constantFrom(
    "127.0.0.1:99999",
    "__proto__",
    "constructor",
    "x".repeat(9_999),
  ),
);

const anyNews = fc.record({
  version: anyNumber,
  digest: anyNumber,
  ageMs: anyNumber,
  wanted: fc.boolean(),
  hasChanges: fc.boolean(),
  since: anyNumber,
  retentionMs: anyNumber,
  changes: fc.array(fc.record({
    id: anyText,
    document: fc.oneof(anyText, fc.json()),
  })),
});

/** Any message of a peer that has the types of the protocol. */
const anyMessage = fc.record({
  epoch: anyText,
  sequence: anyNumber,
  acknowledged: anyNumber,
  configurationVersion: anyNumber,
  storeEra: anyNumber,
  full: fc.boolean(),
  members: fc.array(fc.record({
    id: anyText,
    epoch: anyText,
    sequence: anyNumber,
    state: anyText,
    role: anyText,
    dataCentre: anyText,
    region: anyText,
    address: anyText,
    peers: anyText,
  })),
  marks: fc.array(fc.record({
    upstream: anyText,
    reason: anyText,
    at: anyNumber,
    version: anyNumber,
    datedVersion: anyNumber,
  })),
  suspects: fc.array(fc.record({
    // A quarantine of the block of the prompts below would be in order.
    block: anyText.filter((text) => text !== "p"),
    clearances: anyNumber,
    ends: fc.array(anyText),
    changedAt: anyNumber,
  })),
  limits: fc.array(fc.record({
    upstream: anyText,
    requestsPerSecond: anyNumber,
    ended: fc.boolean(),
    revision: anyNumber,
  })),
  duties: fc.array(
    fc.record({ duty: anyText, holder: anyText, fence: anyNumber }),
  ),
  shares: fc.array(
    fc.record({ engine: anyText, running: anyNumber, tokens: anyNumber }),
  ),
  lengths: fc.array(fc.record({
    workClass: anyText,
    model: anyText,
    counts: fc.array(anyNumber),
  })),
  upstreams: fc.oneof(fc.constant(null), anyNews),
  readsDocuments: fc.boolean(),
  configurationAgeMs: fc.oneof(fc.constant(undefined), anyNumber),
  configurations: fc.array(fc.record({
    version: anyNumber,
    document: fc.oneof(anyText, fc.json()),
  })),
});

const d9 = upstreamOf("d9", { pool: "desk", role: "service", slots: 6 });
const e9 = upstreamOf("e9");

function isSent(relay: RelayFixture, kind: "request" | "generate"): boolean {
  const exchangeId = `${kind}-${relay.now}`;
  const effects = relay[kind]({ exchangeId });
  relay.reduce({ kind: "caller_disconnected", exchangeId });
  return only(effects, "send_request").length === 1;
}

// A number out of range or an unexpected word ended the process or hid others.
t.test("requests are served and changes heeded after any message of a peer", (t) => {
  const property = fc.property(fc.array(anyMessage), (messages) => {
    const relay = new RelayFixture();
    relay.learn([d9, e9]);
    for (const message of messages) {
      relay.receiveExchange(message as never);
      relay.reduce({ kind: "timer_fired", timer: { kind: "exchange" } }, 100);
    }
    const routing = routingOf({ version: 2 });
    relay.reduce(
      { kind: "routing_learned", confirmedAt: 0, routing } satisfies RelayEvent,
    );
    const { version } = relay.state.routeTable?.routing ?? {};
    const isServed = isSent(relay, "request") && isSent(relay, "generate");
    relay.list([{ ...d9, state: "leaving" }, e9]);
    return version === 2 && isServed && !isSent(relay, "request");
  });
  const seed = Number(process.env["ODD_EXCHANGE_SEED"] ?? 29);
  t.doesNotThrow(() => fc.assert(property, { seed, numRuns: 400 }));
  t.end();
});
