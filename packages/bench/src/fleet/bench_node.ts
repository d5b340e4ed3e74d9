import { randomBytes } from "node:crypto";
import { emptyConfiguration } from "@lavenderferry/configuration";
import { Duties, FleetNode } from "@lavenderferry/fleet";
import type { PlatformClient } from "@lavenderferry/platform";
import type {
  ExchangeMessage,
  ExchangeMessage__Output,
} from "@lavenderferry/protocol";
import { PeerClients, PeerServer } from "@lavenderferry/protocol";
import type { Moment } from "@lavenderferry/runtime";
import { systemClock } from "@lavenderferry/runtime";
import type { Learned } from "./node_message.ts";

/** Data centres and regions that the nodes are spread over. */
const dataCentres = 14;
const regions = 4;

const ip = "127.0.0.1";
const periodMs = 100;
const listMs = 1_000;
const joinMs = 3_000;
const pools = ["models"];

/** One node of the fleet with a real server, real clients and a real table. */
export class BenchNode {
  readonly index: number;
  readonly epoch = randomBytes(6).toString("hex");
  readonly #platform: PlatformClient;
  readonly #tell: (learned: Learned) => void;
  readonly #fleet: FleetNode;
  readonly #duties: Duties;
  readonly #clients = new PeerClients();
  readonly #server: PeerServer;
  readonly #held = new Set<string>();
  readonly #timers: NodeJS.Timeout[] = [];
  #dutiesFrom = Infinity;

  constructor(options: {
    readonly index: number;
    readonly platform: PlatformClient;
    readonly tell: (learned: Learned) => void;
  }) {
    const { index, platform, tell } = options;
    const id = nodeId(index);
    this.index = index;
    this.#platform = platform;
    this.#tell = tell;
    this.#duties = new Duties({ id, epoch: this.epoch });
    this.#fleet = new FleetNode({
      id,
      epoch: this.epoch,
      ...placeOf(index),
      seed: index + 1,
    }, Date.now());
    const refused = () => Promise.reject(new Error("Not part of the bench"));
    this.#server = new PeerServer({
      exchange: (message) => Promise.resolve(this.#receive(message)),
      settle: refused,
      hold: refused,
      takeOver: refused,
      explain: refused,
      drain: refused,
    });
  }

  /** Listens, and returns the socket. */
  async start(): Promise<string> {
    const port = await this.#server.listen(ip, 0);
    const peers = `${ip}:${port}`;
    this.#fleet.listen(peers, peers);
    this.#timers.push(setInterval(() => this.#poll(), periodMs));
    this.#timers.push(setInterval(() => this.#list(), listMs));
    return peers;
  }

  /** Ends without a word, as a killed process does. */
  kill(): void {
    for (const timer of this.#timers) {
      clearInterval(timer);
    }
    this.#server.close();
    this.#clients.close();
  }

  /** Marks an upstream first-hand. */
  mark(name: string): void {
    this.#fleet.mark(name, { reason: "draining", at: systemClock.now() });
    this.#poll();
  }

  /** Learns a version first-hand, as the steward that accepted it. */
  configure(version: number): void {
    this.#fleet.learnConfiguration({ ...emptyConfiguration, version });
    this.#poll();
  }

  #receive(message: ExchangeMessage__Output): ExchangeMessage {
    const reply = this.#fleet.receive(message, systemClock.now());
    this.#poll();
    return reply;
  }

  #poll(): void {
    const at = systemClock.now();
    for (const { peer, address, message } of this.#fleet.poll(at)) {
      this.#clients.at(address).exchange(message).then(
        (reply) => {
          this.#fleet.replied(peer, reply, systemClock.now());
          this.#poll();
        },
        () => this.#fleet.failed(peer, systemClock.now()),
      );
    }
    this.#stepDuties(at);
    this.#tellNews();
  }

  #tellNews(): void {
    const { marks, configurations, members } = this.#fleet.takeNews();
    for (const { upstream } of marks) {
      this.#say("mark", upstream);
    }
    for (const { version } of configurations) {
      this.#say("configuration", String(version));
    }
    for (const { id, state, epoch } of members) {
      this.#say("member", `${id} ${state} ${epoch}`);
    }
  }

  #stepDuties(at: Moment): void {
    if (placeOf(this.index).role !== "steward") {
      return;
    }
    if (at.monotonic < this.#dutiesFrom) {
      return;
    }
    const members = this.#fleet.membership.all();
    const directory = this.#fleet.duties;
    const view = { members, directory, pools };
    for (const { duty, action } of this.#duties.step(view, at)) {
      const run = action.kind === "read"
        ? this.#platform.read([action.key], "leases").then(([row = null]) =>
          this.#duties.read(duty, row, systemClock.now())
        )
        : this.#platform.commit([action.write], "leases").then((result) =>
          this.#duties.written(duty, result, systemClock.now())
        );
      run.then(
        () => this.#noteDuty(duty),
        () => this.#duties.failed(duty, false, systemClock.now()),
      );
    }
  }

  #noteDuty(duty: string): void {
    const at = systemClock.now();
    const fence = this.#duties.dutyFence(duty, at);
    if (fence === null && this.#held.delete(duty)) {
      const known = this.#fleet.duties.get(duty)?.fence ?? 0;
      this.#fleet.setDuty({ duty, holder: "", fence: known }, at);
    } else if (fence !== null && !this.#held.has(duty)) {
      this.#held.add(duty);
      this.#fleet.setDuty({ duty, holder: nodeId(this.index), fence }, at);
      this.#say("duty", duty);
    }
  }

  #list(): void {
    this.#platform.listVms().then((vms) => {
      const at = systemClock.now();
      if (this.#dutiesFrom === Infinity) {
        this.#dutiesFrom = at.monotonic + joinMs;
      }
      this.#fleet.learnVms(vms, at);
    }, () => undefined);
  }

  #say(topic: Learned["topic"], name: string): void {
    const { index } = this;
    this.#tell({ kind: "learned", index, topic, name, at: Date.now() });
  }
}

/** Returns the id of a node. */
export function nodeId(index: number): string {
  return `p${index}`;
}

/** Returns the role and place of a node. */
export function placeOf(index: number): {
  readonly role: "entry" | "steward";
  readonly dataCentre: string;
  readonly region: string;
} {
  const centre = Math.floor(index / 2) % dataCentres;
  return {
    role: index % 2 === 0 ? "entry" : "steward",
    dataCentre: `dc${centre}`,
    region: `region${centre % regions}`,
  };
}
