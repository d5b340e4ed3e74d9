import t from "tap";
import { runDocumentWork } from "../fixtures/document_work.ts";
import {
  completeMessage,
  completePart,
  only,
  RelayFixture,
  routingOf,
} from "../fixtures/relay_fixture.ts";
import type { RelayEffect } from "../relay_effect.ts";

const peerAddress = "10.0.0.2:2";

/** Starts a relay that has a routing and knows one peer. */
function startRelay(routing = routingOf()): RelayFixture {
  const relay = new RelayFixture();
  relay.reduce({
    kind: "members_learned",
    vms: [{
      id: "front-2",
      role: "entry",
      dataCentre: "a",
      region: "north",
      state: "live",
      address: "10.0.0.2:1",
      peers: peerAddress,
      checksFence: false,
    }],
    unreadable: [],
  });
  relay.learn([], routing);
  return relay;
}

/** Receives a peer's reply that states a version and the age of it. */
function reply(
  relay: RelayFixture,
  fields: Parameters<typeof completeMessage>[0],
): readonly RelayEffect[] {
  const message = { sender: "front-2", epoch: "e", readsDocuments: true };
  return relay.reduce({
    kind: "exchange_replied",
    peer: "front-2",
    reply: completeMessage({ ...message, ...fields }),
  }, 10);
}

/** Replies to what the relay sends at once after its start. */
function settle(
  relay: RelayFixture,
  fields: { readonly readsDocuments: boolean },
): void {
  for (let count = 0; count < 3; count++) {
    reply(relay, { configurationVersion: 1, ...fields });
  }
}

/** Waits until the relay asks the peer for a document; returns the request. */
function awaitRequest(relay: RelayFixture) {
  for (let attempt = 0; attempt < 20; attempt++) {
    const timer = { kind: "exchange" } as const;
    const effects = relay.reduce({ kind: "timer_fired", timer }, 100);
    const [request] = only(effects, "request_document");
    if (request !== undefined) {
      return request;
    }
  }
  throw new Error("No document was asked for");
}

/** Answers the relay's request with a routing, and decodes it. */
function deliver(relay: RelayFixture, fetchId: number, version: number): void {
  const [content] = [startRelay(routingOf({ version }))].flatMap((sender) => {
    const request = {
      sender: "front-1",
      version,
      offset: 0,
      baseVersion: 0,
      baseDigest: "",
    };
    const kind = "document_requested";
    const asked = sender.reduce({ kind, replyId: 1, request });
    const work = only(asked, "encode_document").map(runDocumentWork);
    return work.flatMap((event) =>
      event === null ? [] : only(sender.reduce(event), "answer_document")
    );
  });
  const part = completePart(content?.part ?? {});
  const received = { kind: "document_part_received", fetchId, part } as const;
  for (const effect of only(relay.reduce(received), "decode_document")) {
    const event = runDocumentWork(effect);
    if (event !== null) {
      relay.reduce(event);
    }
  }
}

// A relay of an earlier build would never have learned the routing.
t.test("a peer that does not read documents gets them in exchanges", (t) => {
  const relay = startRelay();
  const former = only(relay.receiveExchange({}), "answer_exchange");
  t.match(former, [{ message: { configurations: [{ version: 1 }] } }]);
  const fields = { readsDocuments: true, sequence: 2 };
  const [current] = only(relay.receiveExchange(fields), "answer_exchange");
  t.strictSame(current?.message.configurations, []);
  t.end();
});

t.test("a peer of an earlier build is asked for a newer version by an exchange", (t) => {
  const relay = startRelay();
  settle(relay, { readsDocuments: false });
  const effects = reply(relay, {
    configurationVersion: 2,
    readsDocuments: false,
  });
  t.match(only(effects, "send_exchange"), [{ peer: "front-2" }]);
  t.strictSame(only(effects, "request_document"), []);
  t.end();
});

// A routing that was read at a peer would have counted as unconfirmed, or one that is
// no longer the newest as confirmed.
t.test("a version that is read at a peer is as old as the peer has stated", (t) => {
  for (const isOutdated of [false, true]) {
    const relay = startRelay();
    settle(relay, { readsDocuments: true });
    const confirmedBefore = relay.state.fleet.configurationConfirmedAt;
    relay.reduce({ kind: "timer_fired", timer: { kind: "exchange" } }, 5_000);
    const sentAt = relay.now;
    reply(relay, { configurationVersion: 2, configurationAgeMs: 100 });
    t.equal(relay.state.fleet.configurationConfirmedAt, confirmedBefore);
    const { fetchId, address, request } = awaitRequest(relay);
    t.equal(address, peerAddress);
    t.match(request, { version: 2, offset: 0 });
    if (isOutdated) {
      reply(relay, { configurationVersion: 3, configurationAgeMs: 0 });
    }
    deliver(relay, fetchId, 2);
    t.equal(relay.state.routeTable?.routing.version, 2);
    const { configurationConfirmedAt } = relay.state.fleet;
    t.ok(
      isOutdated
        ? configurationConfirmedAt === confirmedBefore
        : configurationConfirmedAt === sentAt - 100,
      isOutdated ? "a later version was stated" : "it was the newest",
    );
  }
  t.end();
});

t.test("a version that is older than the one in force is not applied", (t) => {
  const relay = startRelay();
  reply(relay, { configurationVersion: 2 });
  const { fetchId } = awaitRequest(relay);
  relay.learn([], routingOf({ version: 5 }));
  deliver(relay, fetchId, 2);
  t.equal(relay.state.routeTable?.routing.version, 5);
  t.end();
});
