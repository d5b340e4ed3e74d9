import type { Vm } from "@lavenderferry/platform";
import { toStoreVersion } from "@lavenderferry/platform";
import type { UpstreamNews__Output } from "@lavenderferry/protocol";
import t from "tap";
import { UpstreamList } from "./upstream_list.ts";

function upstreamOf(id: string, change: Partial<Vm> = {}): Vm {
  return {
    id,
    role: "engine",
    dataCentre: "a",
    region: "",
    state: "live",
    address: "10.0.0.1:1",
    pool: "models",
    checksFence: false,
    ...change,
  };
}

const [a, b, c] = ["a", "b", "c"].map((id) => upstreamOf(id)) as [Vm, Vm, Vm];

/** Returns what a list tells a peer, as it is received. */
function newsOf(
  list: UpstreamList,
  peerVersion: number,
  isWantedByPeer = false,
): UpstreamNews__Output {
  const news = list.newsFor(peerVersion, {
    now: 100,
    isWantedByPeer,
    isWanted: false,
    retainedUntil: 0,
  });
  const absent = { hasChanges: false, since: 0, changes: [] };
  return { ...absent, ...news } as UpstreamNews__Output;
}

function listOf(vms: readonly Vm[], version: number): UpstreamList {
  const list = new UpstreamList();
  list.read({ vms, version }, 0);
  return list;
}

function idsOf(list: UpstreamList): readonly string[] {
  return list.listed.vms.map(({ id }) => id).sort();
}

t.test("a peer is told what has changed since its version", (t) => {
  const sender = listOf([a, b], 5);
  sender.read({ vms: [a, c], version: 9 }, 50);
  const news = newsOf(sender, 5);
  t.strictSame(news.changes.map(({ id }) => id).sort(), ["b", "c"]);
  const receiver = listOf([a, b], 5);
  t.equal(receiver.merge(news, 40), "changed");
  t.strictSame(idsOf(receiver), ["a", "c"]);
  t.equal(receiver.version, 9);
  t.equal(receiver.askedAt, 40);
  t.end();
});

t.test("news without changes confirm the list and its age", (t) => {
  const sender = listOf([a, b], 5);
  sender.read(
    { vms: [a, b].map((vm) => ({ ...vm, version: 8 })), version: 9 },
    50,
  );
  const receiver = listOf([a, b], 7);
  const news = newsOf(sender, 7);
  t.strictSame(news.changes, []);
  t.equal(receiver.merge(news, 40), "confirmed");
  t.equal(receiver.version, 9);
  t.equal(receiver.merge(news, 60), "known");
  t.equal(receiver.askedAt, 60, "a later age counts for the same version");
  t.end();
});

// The sender read versions 1 and 3 only, so it knows of no change.
t.test("a change that was undone between the sender's reads is noticed", (t) => {
  const sender = listOf([a], 1);
  sender.read({ vms: [a], version: 3 }, 0);
  const receiver = listOf([a, b], 2);
  t.equal(receiver.merge(newsOf(sender, 2), 0), "incomplete");
  t.strictSame(idsOf(receiver), ["a", "b"]);
  t.equal(receiver.version, 2);
  const complete = newsOf(sender, 0, true);
  t.equal(receiver.merge(complete, 0), "changed");
  t.strictSame(idsOf(receiver), ["a"]);
  t.end();
});

t.test("nothing goes back, neither by a read nor by news", (t) => {
  const list = listOf([a, b], 9);
  t.notOk(list.read({ vms: [a], version: 8 }, 99));
  t.equal(list.merge(newsOf(listOf([c], 7), 0, true), 99), "known");
  t.strictSame(idsOf(list), ["a", "b"]);
  t.equal(list.askedAt, 0);
  t.end();
});

t.test("news of another era of the store are not believed", (t) => {
  const restored = listOf([c], toStoreVersion(1, 3));
  const list = listOf([a], 9);
  t.equal(list.merge(newsOf(restored, 0, true), 99), "known");
  t.ok(list.read({ vms: [c], version: toStoreVersion(1, 4) }, 5));
  t.strictSame(idsOf(list), ["c"]);
  t.end();
});

t.test("a list that a restore has emptied is known as such", (t) => {
  const list = listOf([a], 9);
  list.read({ vms: [], version: toStoreVersion(1, 4) }, 5);
  const peer = listOf([], toStoreVersion(1, 3));
  t.equal(peer.merge(newsOf(list, peer.version), 5), "confirmed");
  t.end();
});

t.test("a list that was never read takes no news", (t) => {
  const list = new UpstreamList();
  t.equal(list.merge(newsOf(listOf([a], 3), 0, true), 0), "known");
  t.equal(newsOf(list, 0).version, undefined);
  t.end();
});

t.test("news that cannot be read are not applied in part", (t) => {
  const sender = listOf([a], 5);
  sender.read({ vms: [a, b, c], version: 6 }, 0);
  const news = newsOf(sender, 5);
  for (
    const document of ["{", "null", "{}", JSON.stringify(a), "[".repeat(9_999)]
  ) {
    const receiver = listOf([a], 5);
    const changes = news.changes.map((change) =>
      change.id === "c" ? { ...change, document } : change
    );
    t.equal(receiver.merge({ ...news, changes }, 0), "incomplete", document);
    t.strictSame(idsOf(receiver), ["a"]);
  }
  t.end();
});

t.test("a peer gets all upstreams only if it wants them", (t) => {
  const sender = listOf([a, b], 50);
  t.equal(newsOf(sender, 3).hasChanges, false);
  const news = newsOf(sender, 3, true);
  t.equal(news.changes.length, 2);
  t.equal(news.since, 0);
  t.end();
});

t.test("a later row is news if it outranks what the list knows of it", (t) => {
  const sender = new UpstreamList((known, later) =>
    (known.version ?? 0) <= 5 && (later.version ?? 0) > 5
  );
  sender.read({ vms: [{ ...a, version: 4 }], version: 4 }, 0);
  sender.read({ vms: [{ ...a, version: 5 }], version: 5 }, 0);
  t.equal(newsOf(sender, 4).changes.length, 0);
  sender.read({ vms: [{ ...a, version: 7 }], version: 7 }, 0);
  t.equal(newsOf(sender, 5).changes.length, 1);
  t.end();
});
