// The open channels to the store go silent, new ones work. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client } from "../standins/client.js";
import { config, route } from "../standins/config.js";
import { Engine } from "../standins/engine.js";
import { Relay } from "../standins/relay.js";
import { runCase } from "../standins/run_case.js";
import { SilentProxy } from "../standins/silent_proxy.js";
import { Store } from "../standins/store.js";
import { sleep } from "../standins/util.js";

/** Whether the run includes the disruption. */
const trouble = process.env.TROUBLE !== "0";

const relayCount = 3;

/** Bounds of the sheet, as in the settings. */
const contactMs = 3_000;
const configPropagationMs = 2_000;

/** Milliseconds by which a request must be beyond a bound to be judged. */
const marginMs = 50;

/** Milliseconds between two changes, as of `config_storm`. */
const changeGapMs = 400;

const kept = { name: "clinic", apiKeys: ["key-1"], priority: 1 };
const revoked = { name: "broker", apiKeys: ["key-2"], priority: 1 };

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const store = new Store();
  await store.start();
  const first = config(7, { tenants: [kept, revoked] });
  store.put("op", "config", first);
  for (const id of ["d1", "d2", "d3"]) {
    const options = { service: "desk", models: null, slots: 6 };
    await new Engine(store, { id, ...options }).start();
  }
  const relays = [];
  for (let number = 1; number <= relayCount; number++) {
    const proxy = new SilentProxy(store.address);
    await proxy.start();
    const relay = new Relay(`front-a-${number}`, { store: proxy.address });
    relay.proxy = proxy;
    relays.push(relay);
  }
  await Promise.all(relays.map((relay) => relay.start()));
  record.add("relays are ready");
  await sleep(4_000 + 2_500 * Math.random());

  // One change after another; the keys of a tenant are taken away in the last.
  store.put("op", "config", { ...first, version: 9 });
  record.add("version 9 is acknowledged");
  await sleep(changeGapMs / 2);
  let silentAt = performance.now();
  if (trouble) {
    for (const { name, proxy } of relays) {
      const count = proxy.silence();
      record.add(`${count} open channels of ${name} to the store go silent`);
    }
  }
  await sleep(changeGapMs / 2);
  const routes = [...first.routes, route("fresh", { kind: "idempotent" })];
  const last = { ...first, version: 12, routes, tenants: [kept] };
  store.put("op", "config", last);
  const acknowledgedAt = performance.now();
  record.add("version 12 is acknowledged: without key-2, with route /fresh/");
  if (!trouble) {
    silentAt = -Infinity;
  }

  const judgedFrom = marginMs +
    Math.max(silentAt + contactMs, acknowledgedAt + configPropagationMs);
  const stale = [];
  let judged = 0;
  const probe = async (relay, kind) => {
    const isKey = kind === "revoked key";
    const client = new Client(relay.front, { key: isKey ? "key-2" : "key-1" });
    const path = isKey ? "/book/1" : "/fresh/1";
    const method = isKey ? "POST" : "GET";
    const answer = await client.send({ path, method, deadlineMs: 1_500 });
    client.close();
    if (answer.sentAt < judgedFrom) {
      return;
    }
    judged += 1;
    const isStale = isKey ? answer.status === 200 : answer.status === 404;
    if (isStale) {
      if (stale.length === 0) {
        for (const { name, proxy } of relays) {
          record.add(`${proxy.open} new channels of ${name} to the store work`);
        }
      }
      stale.push({ relay, kind });
      record.add(
        `${kind} at ${relay.name}, sent ` +
          `${Math.round(answer.sentAt - acknowledgedAt)} ms after the ` +
          `acknowledgement and ${Math.round(answer.sentAt - silentAt)} ms ` +
          `after the silence: ${answer.status}` +
          `${answer.sealed ? " with an engine's proof" : ""}`,
      );
    }
  };
  const until = acknowledgedAt + 7_000;
  while (performance.now() < until) {
    for (const relay of relays) {
      void probe(relay, "revoked key");
      void probe(relay, "new route");
    }
    await sleep(100);
  }
  await sleep(500);
  for (const { name, proxy } of relays) {
    record.add(`${proxy.open} channels of ${name} to the store are open now`);
  }
  record.add(`${judged} requests were judged, ${stale.length} of them stale`);
  const ran = stale.filter(({ kind }) => kind === "revoked key").length;
  return stale.length > 0
    ? `CONFIG: ${ran} requests with a key that had been taken away ran, ` +
      `${stale.length - ran} on a new route got 404`
    : null;
});
