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
import type { LearnedUpdate } from "./node_message.ts";

/** Numbers of data centres and regions that the nodes are spread over. */
const dataCentreCount = 14;
const regionCount = 4;

const ip = "127.0.0.1";
const pollIntervalMs = 100;
const vmListIntervalMs = 1_000;
/** Time after the first VM list before a node competes for duties. */
const dutyStartDelayMs = 3_000;
const pools = ["models"];

/**
 * A fleet node without the rest of an entry or steward. It exchanges messages
 * over gRPC connections and keeps the leases of its duties in the platform's
 * table.
 */
export class BenchNode {
  readonly index: number;
  readonly epoch = randomBytes(6).toString("hex");
  readonly #platform: PlatformClient;
  readonly #onUpdate: (update: LearnedUpdate) => void;
  readonly #fleet: FleetNode;
  readonly #duties: Duties;
  readonly #clients = new PeerClients();
  readonly #server: PeerServer;
  readonly #heldDuties = new Set<string>();
  readonly #timers: NodeJS.Timeout[] = [];
  /** Monotonic milliseconds; infinite before the first VM list. */
  #dutiesStartAt = Infinity;

  constructor(options: {
    readonly index: number;
    readonly platform: PlatformClient;
    readonly onUpdate: (update: LearnedUpdate) => void;
  }) {
    const { index, platform, onUpdate } = options;
    const id = nodeId(index);
    this.index = index;
    this.#platform = platform;
    this.#onUpdate = onUpdate;
    this.#duties = new Duties({ id, epoch: this.epoch });
    this.#fleet = new FleetNode({
      id,
      epoch: this.epoch,
      ...nodePlacement(index),
      seed: index + 1,
    }, Date.now());
    const rejectCall = () =>
      Promise.reject(new Error("Not supported by a bench node"));
    this.#server = new PeerServer({
      exchange: (message) => Promise.resolve(this.#receive(message)),
      settle: rejectCall,
      hold: rejectCall,
      takeOver: rejectCall,
      explain: rejectCall,
      drain: rejectCall,
    });
  }

  /** Starts the server and timers, and returns the server's address. */
  async start(): Promise<string> {
    const port = await this.#server.listen(ip, 0);
    const address = `${ip}:${port}`;
    this.#fleet.setAddresses(address, address);
    this.#timers.push(setInterval(() => this.#poll(), pollIntervalMs));
    this.#timers.push(setInterval(() => this.#refreshVms(), vmListIntervalMs));
    return address;
  }

  /** Stops without notifying any peer, as a killed process would. */
  kill(): void {
    for (const timer of this.#timers) {
      clearInterval(timer);
    }
    this.#server.close();
    this.#clients.close();
  }

  /** Marks an upstream as draining, as the origin of the update. */
  markDraining(upstream: string): void {
    this.#fleet.mark(upstream, { reason: "draining", at: systemClock.now() });
    this.#poll();
  }

  /** Applies an empty configuration, as the steward that accepted it would. */
  applyConfiguration(version: number): void {
    this.#fleet.applyConfiguration({ ...emptyConfiguration, version });
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
          this.#fleet.receiveReply(peer, reply, systemClock.now());
          this.#poll();
        },
        () => this.#fleet.requestFailed(peer, systemClock.now()),
      );
    }
    this.#stepDuties(at);
    this.#reportUpdates();
  }

  #reportUpdates(): void {
    const { marks, configurations, members } = this.#fleet.takeUpdates();
    for (const { upstream } of marks) {
      this.#reportUpdate("mark", upstream);
    }
    for (const { version } of configurations) {
      this.#reportUpdate("configuration", String(version));
    }
    for (const { id, state, epoch } of members) {
      this.#reportUpdate("member", `${id} ${state} ${epoch}`);
    }
  }

  #stepDuties(at: Moment): void {
    if (nodePlacement(this.index).role !== "steward") {
      return;
    }
    if (at.monotonic < this.#dutiesStartAt) {
      return;
    }
    const members = this.#fleet.membership.all();
    const directory = this.#fleet.duties;
    const view = { members, directory, pools };
    for (const { duty, action } of this.#duties.step(view, at)) {
      const operation = action.kind === "read"
        ? this.#platform.read([action.key], "leases").then(([row = null]) =>
          this.#duties.rowRead(duty, row, systemClock.now())
        )
        : this.#platform.commit([action.write], "leases").then((result) =>
          this.#duties.writeCompleted(duty, result, systemClock.now())
        );
      operation.then(
        () => this.#publishDuty(duty),
        () => this.#duties.operationFailed(duty, false, systemClock.now()),
      );
    }
  }

  #publishDuty(duty: string): void {
    const at = systemClock.now();
    const fence = this.#duties.dutyFence(duty, at);
    if (fence === null && this.#heldDuties.delete(duty)) {
      const lastFence = this.#fleet.duties.get(duty)?.fence ?? 0;
      this.#fleet.setDuty({ duty, holder: "", fence: lastFence }, at);
    } else if (fence !== null && !this.#heldDuties.has(duty)) {
      this.#heldDuties.add(duty);
      this.#fleet.setDuty({ duty, holder: nodeId(this.index), fence }, at);
      this.#reportUpdate("duty", duty);
    }
  }

  #refreshVms(): void {
    this.#platform.listVms().then((vms) => {
      const at = systemClock.now();
      if (this.#dutiesStartAt === Infinity) {
        this.#dutiesStartAt = at.monotonic + dutyStartDelayMs;
      }
      this.#fleet.applyVmList(vms, at);
    }, () => undefined);
  }

  #reportUpdate(topic: LearnedUpdate["topic"], name: string): void {
    const { index } = this;
    this.#onUpdate({ kind: "learned", index, topic, name, at: Date.now() });
  }
}

/** Returns the id of a node, unique in the fleet. */
export function nodeId(index: number): string {
  return `p${index}`;
}

/** Returns the role and location of a node: even indexes are entries. */
export function nodePlacement(index: number): {
  readonly role: "entry" | "steward";
  readonly dataCentre: string;
  readonly region: string;
} {
  const dataCentreIndex = Math.floor(index / 2) % dataCentreCount;
  return {
    role: index % 2 === 0 ? "entry" : "steward",
    dataCentre: `dc${dataCentreIndex}`,
    region: `region${dataCentreIndex % regionCount}`,
  };
}
