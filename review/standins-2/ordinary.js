// Ordinary clients, whose requests run at sound servers while something happens.
import { KeptChannel, requestText, waitUntil } from "./system.js";

const clientCount = 8;

/** Sends one request over each kept channel, and a second one that takes long. */
export class OrdinaryClients {
  #record;
  #relay;
  #desks;
  #answers = [];

  constructor({ record, relay, desks }) {
    this.#record = record;
    this.#relay = relay;
    this.#desks = desks;
  }

  /** Resolves once the second requests run at the servers. */
  async begin(workMs) {
    const channels = Array.from(
      { length: clientCount },
      () => new KeptChannel(this.#relay.front),
    );
    for (const [index, channel] of channels.entries()) {
      const id = `first-${index}`;
      const { status } = await channel.send(
        requestText("/book/1", { id, method: "POST" }),
      );
      if (status !== 200) {
        throw new Error(`an ordinary request got ${status} in calm`);
      }
    }
    for (const desk of this.#desks) {
      desk.workMs = workMs;
    }
    this.#answers = channels.map((channel, index) =>
      channel.send(
        requestText("/book/1", { id: `second-${index}`, method: "POST" }),
      )
    );
    const count = () =>
      this.#desks.flatMap(({ runs }) => runs)
        .filter(({ id }) => id.startsWith("second")).length;
    await waitUntil(() => count() === clientCount, {
      what: "the ordinary requests run",
    });
    this.#record.write(`${count()} ordinary requests run at sound servers`);
  }

  /** Returns how many channels were closed without an answer. */
  async countLosses() {
    let losses = 0;
    for (
      const [index, answer] of (await Promise.all(this.#answers)).entries()
    ) {
      const { status, ended } = answer;
      this.#record.write(`ordinary request ${index}: ${status} ${ended}`);
      losses += ended === "closed" ? 1 : 0;
    }
    this.#record.write(`${losses} channels were closed without an answer`);
    return losses;
  }
}

/** Channels that may be closed without an answer, by the rule LOST. */
export const allowedLosses = 3;

/** Writes how the process of a relay has ended, if it has. */
export function recordEnds(record, relay) {
  record.write(`ends of the process: ${JSON.stringify(relay.ends)}`);
  for (const line of relay.lines.filter((text) => text.startsWith("FATAL"))) {
    record.write(line);
  }
}
