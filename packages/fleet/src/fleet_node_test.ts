import type { Configuration } from "@lavenderferry/configuration";
import { emptyConfiguration } from "@lavenderferry/configuration";
import type { Vm } from "@lavenderferry/platform";
import type { ExchangeMessage__Output } from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import t from "tap";
import type { OutgoingMessage } from "./exchange.ts";
import { controlBytesPerSecond } from "./exchange_budget.ts";
import { FleetNode } from "./fleet_node.ts";

const wallStart = 1_800_000_000_000;
const latencyMs = 5;
const timeoutMs = 1_000;
const stepMs = 20;

/** A fleet in simulated time, with fixed latency and links that can be cut. */
class Simulation {
  readonly nodes = new Map<string, FleetNode>();
  readonly dead = new Set<string>();
  readonly #queue: { at: number; run: () => void }[] = [];
  readonly #dataCentres: number;
  /** Returns whether messages from one process reach another. */
  passes: (from: string, to: string) => boolean = () => true;
  now = 0;
  bytes = 0;

  constructor(size: number, dataCentres: number) {
    this.#dataCentres = dataCentres;
    for (let index = 0; index < size; index++) {
      this.start(`p${index}`, "a1");
    }
    this.applyVmList();
  }

  get at(): Moment {
    return { monotonic: this.now, wall: wallStart + this.now };
  }

  start(id: string, epoch: string): FleetNode {
    const index = Number(id.slice(1));
    const node = new FleetNode({
      id,
      epoch,
      role: index % 2 === 0 ? "entry" : "steward",
      dataCentre: `dc${index % this.#dataCentres}`,
      region: `region${index % 2}`,
      seed: index + 1,
    }, this.at.wall);
    node.setAddresses(`${id}:1`, id);
    this.nodes.set(id, node);
    this.dead.delete(id);
    return node;
  }

  applyVmList(vms = this.vms()): void {
    for (const node of this.nodes.values()) {
      node.applyVmList(vms, this.at);
    }
  }

  vms(): Vm[] {
    return [...this.nodes.values()].map(({ membership: { self } }) => ({
      id: self.id,
      role: self.role,
      dataCentre: self.dataCentre,
      region: self.region,
      state: "live",
      address: self.address,
      peers: self.peers,
      checksFence: false,
    }));
  }

  node(id: string): FleetNode {
    const node = this.nodes.get(id);
    if (node === undefined) {
      throw new Error(`No node is called "${id}"`);
    }
    return node;
  }

  liveNodes(): FleetNode[] {
    return [...this.nodes]
      .filter(([id]) => !this.dead.has(id))
      .map(([, node]) => node);
  }

  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += stepMs;
      this.#deliver();
      for (const node of this.liveNodes()) {
        this.#send(node);
      }
    }
  }

  /** Runs until a condition holds; returns the simulated milliseconds. */
  runUntil(holds: () => boolean, limitMs: number): number {
    const start = this.now;
    while (!holds() && this.now - start < limitMs) {
      this.run(stepMs);
    }
    return this.now - start;
  }

  #deliver(): void {
    this.#queue.sort((a, b) => a.at - b.at);
    while ((this.#queue[0]?.at ?? Infinity) <= this.now) {
      this.#queue.shift()?.run();
    }
  }

  #send(node: FleetNode): void {
    for (const outgoing of node.poll(this.at)) {
      this.#transmit(node, outgoing);
    }
  }

  #transmit(
    node: FleetNode,
    { peer, address, message }: OutgoingMessage,
  ): void {
    const { id } = node.membership.self;
    const receiver = this.nodes.get(address);
    this.bytes += JSON.stringify(message).length;
    const open = this.passes(id, address) && this.passes(address, id);
    if (receiver === undefined || this.dead.has(address) || !open) {
      const delayMs = open ? latencyMs : timeoutMs;
      this.#schedule(delayMs, () => node.requestFailed(peer, this.at));
      return;
    }
    this.#schedule(latencyMs, () => {
      const reply = receiver.receive(withDefaults(message), this.at);
      this.bytes += JSON.stringify(reply).length;
      this.#schedule(
        latencyMs,
        () => node.receiveReply(peer, withDefaults(reply), this.at),
      );
    });
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#queue.push({ at: this.now + delayMs, run });
  }
}

function withDefaults(message: object): ExchangeMessage__Output {
  const empty = {
    sender: "",
    epoch: "",
    sequence: 0,
    configurationVersion: 0,
    storeEra: 0,
    configurations: [],
    members: [],
    marks: [],
    shares: [],
    lengths: [],
    suspects: [],
    limits: [],
    duties: [],
    full: false,
    acknowledged: 0,
    upstreams: null,
    readsDocuments: false,
    evacuations: null,
  };
  return structuredClone({ ...empty, ...message }) as ExchangeMessage__Output;
}

// Processes took the work of peers that they had once met for running for ever.
t.test("the work of a peer is forgotten with the link to it", (t) => {
  const node = new FleetNode({
    id: "p0",
    epoch: "a1",
    role: "entry",
    dataCentre: "dc0",
    region: "region0",
    seed: 1,
  }, wallStart);
  const share = { engine: "e1", running: 3, tokens: 900 };
  const at = (monotonic: number) => ({
    monotonic,
    wall: wallStart + monotonic,
  });
  // No link is chosen, as the sender has no address.
  node.receive(
    withDefaults({ sender: "p9", epoch: "b1", sequence: 1, shares: [share] }),
    at(0),
  );
  t.strictSame(node.takeUpdates().shares.get("p9"), [share]);
  node.poll(at(9_000));
  t.equal(node.takeUpdates().shares.has("p9"), false);
  node.poll(at(16_000));
  t.strictSame(node.takeUpdates().shares.get("p9"), []);
  t.equal(node.loadOf("p9"), undefined);
  t.end();
});

function createConfiguration(version: number): Configuration {
  return { ...emptyConfiguration, version };
}

const sizes = [
  { size: 3, dataCentres: 1 },
  { size: 24, dataCentres: 3 },
  { size: 60, dataCentres: 5 },
];

for (const { size, dataCentres } of sizes) {
  const name = `${size} processes in ${dataCentres} data centres`;

  t.test(`${name} detect a dead process within seconds`, (t) => {
    const fleet = new Simulation(size, dataCentres);
    fleet.run(8_000);
    fleet.dead.add("p1");
    const state = (node: FleetNode) => node.membership.get("p1")?.state;
    const noticed = () =>
      fleet.liveNodes().every((node) => state(node) !== "live");
    t.ok(fleet.runUntil(noticed, 5_000) < 5_000);
    const gone = () =>
      fleet.liveNodes().every((node) => state(node) === "gone");
    t.ok(fleet.runUntil(gone, 8_000) < 8_000);
    t.end();
  });

  t.test(`${name} disseminate a mark within a second`, (t) => {
    const fleet = new Simulation(size, dataCentres);
    fleet.run(8_000);
    fleet.node("p0").mark("engine-1", { reason: "draining", at: fleet.at });
    const known = () =>
      fleet.liveNodes().every((node) =>
        node.marks.get("engine-1") !== undefined
      );
    t.ok(fleet.runUntil(known, 1_000) < 1_000);
    t.end();
  });

  t.test(`${name} disseminate a suspect block within a second`, (t) => {
    const fleet = new Simulation(size, dataCentres);
    fleet.run(8_000);
    const ends = ["engine-1/attempt-1"];
    const record = { block: "x", clearances: 0, ends, changedAt: wallStart };
    fleet.node("p0").setSuspect(record, fleet.at);
    const knownBy = new Set(["p0"]);
    // As in a relay, a process sends on what is new to it.
    const known = () => {
      for (const node of fleet.liveNodes()) {
        const { id } = node.membership.self;
        const [received] = node.takeUpdates().suspects;
        if (received !== undefined && !knownBy.has(id)) {
          t.match(received, record);
          knownBy.add(id);
          node.setSuspect(received, fleet.at);
        }
      }
      return knownBy.size === size;
    };
    t.ok(fleet.runUntil(known, 1_000) < 1_000);
    t.end();
  });

  t.test(`${name} disseminate a configuration`, (t) => {
    const fleet = new Simulation(size, dataCentres);
    fleet.run(8_000);
    fleet.node("p1").applyConfiguration(createConfiguration(1));
    const receivedBy = new Set(["p1"]);
    const known = () => {
      for (const node of fleet.liveNodes()) {
        if (node.takeUpdates().configurations.length > 0) {
          receivedBy.add(node.membership.self.id);
        }
      }
      return receivedBy.size === size;
    };
    t.ok(fleet.runUntil(known, 2_000) < 2_000);
    t.end();
  });

  t.test(`${name} stay within the byte budget without changes`, (t) => {
    const fleet = new Simulation(size, dataCentres);
    fleet.run(20_000);
    fleet.bytes = 0;
    fleet.run(10_000);
    const bytesPerSecond = 2 * fleet.bytes / size / 10;
    t.ok(bytesPerSecond < controlBytesPerSecond);
    for (const node of fleet.liveNodes()) {
      t.ok(node.linkCount <= 64);
    }
    t.end();
  });
}

t.test("a restarted process is live under its new epoch", (t) => {
  const fleet = new Simulation(12, 2);
  fleet.run(5_000);
  fleet.dead.add("p3");
  fleet.run(10_000);
  fleet.start("p3", "b2").applyVmList(fleet.vms(), fleet.at);
  const known = () =>
    fleet.liveNodes().every((node) => {
      const member = node.membership.get("p3");
      return member?.state === "live" && member.epoch === "b2";
    });
  t.ok(fleet.runUntil(known, 10_000) < 10_000);
  t.end();
});

t.test("a process that was cut off is live again after reconnecting", (t) => {
  const fleet = new Simulation(12, 2);
  fleet.run(5_000);
  fleet.passes = (from) => from !== "p4";
  fleet.run(10_000);
  t.equal(fleet.node("p0").membership.get("p4")?.state, "gone");
  const records = fleet.node("p4").membership.all();
  t.ok(records.every(({ state }) => state === "live"), "it suspects no peer");
  fleet.passes = () => true;
  const known = () =>
    fleet.liveNodes().every((node) =>
      node.membership.get("p4")?.state === "live"
    );
  t.ok(fleet.runUntil(known, 30_000) < 30_000);
  t.end();
});

// On saturated links replies came after the time-out, and members that went on
// sending were taken for gone.
t.test("a peer that sends parts of documents is not suspected for late replies", (t) => {
  const fleet = new Simulation(2, 1);
  fleet.run(5_000);
  const [node, peer] = [fleet.node("p0"), fleet.node("p1")];
  const { id } = peer.membership.self;
  for (let round = 0; round < 6; round++) {
    fleet.now += timeoutMs;
    node.poll(fleet.at);
    fleet.now += timeoutMs / 2;
    node.bytesReceived(id, fleet.at);
    fleet.now += timeoutMs / 2;
    node.requestFailed(id, fleet.at);
    t.equal(node.membership.get(id)?.state, "live");
  }
  for (let failures = 0; failures < 2; failures++) {
    fleet.now += timeoutMs;
    node.poll(fleet.at);
    fleet.now += timeoutMs;
    node.requestFailed(id, fleet.at);
  }
  t.equal(node.membership.get(id)?.state, "suspected", "it sends nothing");
  t.end();
});

t.test("a refutation reaches the only peer, which suspects the process", (t) => {
  for (let index = 0; index < 20; index++) {
    const fleet = new Simulation(2, 1);
    fleet.run(5_000 + 100 * index);
    const stateOfPeer = () => fleet.node("p0").membership.get("p1")?.state;
    fleet.passes = (from) => from !== "p0";
    fleet.runUntil(() => stateOfPeer() === "suspected", 5_000);
    fleet.passes = () => true;
    // The request that is lost last is repeated after a second and a third.
    const delayMs = fleet.runUntil(() => stateOfPeer() === "live", 2_500);
    t.ok(delayMs <= timeoutMs + 400, `after ${delayMs} ms`);
  }
  t.end();
});

t.test("two regions reconnect after a partition", (t) => {
  const fleet = new Simulation(12, 2);
  fleet.run(5_000);
  const regionOf = (id: string) => Number(id.slice(1)) % 2;
  fleet.passes = (from, to) => regionOf(from) === regionOf(to);
  fleet.run(100_000);
  t.equal(fleet.node("p0").membership.get("p1")?.state, "gone");
  fleet.node("p0").mark("engine-2", { reason: "draining", at: fleet.at });
  fleet.passes = () => true;
  const known = () =>
    fleet.liveNodes().every((node) =>
      node.membership.all().every(({ state }) => state === "live") &&
      node.marks.get("engine-2") !== undefined
    );
  t.ok(fleet.runUntil(known, 60_000) < 60_000);
  t.end();
});

t.test("a leaving process is known to be leaving within a second", (t) => {
  const fleet = new Simulation(12, 2);
  fleet.run(5_000);
  fleet.node("p2").leave(fleet.at);
  const known = () =>
    fleet.liveNodes().every((node) =>
      node.membership.get("p2")?.state === "leaving"
    );
  t.ok(fleet.runUntil(known, 1_000) < 1_000);
  t.end();
});

t.test("a joining process gets the full state", (t) => {
  const fleet = new Simulation(12, 2);
  fleet.run(90_000);
  fleet.node("p0").applyConfiguration(createConfiguration(3));
  fleet.node("p0").setDuty(
    { duty: "settlement/1", holder: "p1", fence: 2 },
    fleet.at,
  );
  fleet.run(90_000);
  const node = fleet.start("p12", "c3");
  node.applyVmList(fleet.vms(), fleet.at);
  const known = () =>
    node.holderOf("settlement/1")?.id === "p1" &&
    node.configurationConfirmations >= 2;
  t.ok(fleet.runUntil(known, 5_000) < 5_000);
  t.equal(node.takeUpdates().configurations.at(-1)?.version, 3);
  t.end();
});

t.test("shares reach peers and are removed when their owner is gone", (t) => {
  const fleet = new Simulation(2, 1);
  fleet.run(5_000);
  const shares = [{ engine: "e1", running: 2, tokens: 30 }];
  fleet.node("p0").setShares(shares, fleet.at);
  fleet.run(3_000);
  t.strictSame(fleet.node("p1").takeUpdates().shares.get("p0"), shares);
  fleet.dead.add("p0");
  fleet.run(10_000);
  t.strictSame(fleet.node("p1").takeUpdates().shares.get("p0"), []);
  t.end();
});

t.test("a configuration is never replaced by an older version", (t) => {
  const fleet = new Simulation(2, 1);
  fleet.run(5_000);
  fleet.node("p0").applyConfiguration(createConfiguration(5));
  fleet.node("p1").applyConfiguration(createConfiguration(4));
  fleet.run(3_000);
  const versions = fleet.node("p1").takeUpdates().configurations;
  t.strictSame(versions.map(({ version }) => version), [5]);
  t.strictSame(fleet.node("p0").takeUpdates().configurations, []);
  t.end();
});
