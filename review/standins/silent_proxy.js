import { connect, createServer } from "node:net";

/**
 * A proxy whose open channels can go silent for good, without a reset, while
 * new ones work.
 */
export class SilentProxy {
  #channels = new Set();
  #silent = new Set();
  #server = createServer((near) => this.#join(near));

  constructor(target) {
    const [host, port] = target.split(":");
    this.target = { host, port: Number(port) };
  }

  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  /** Number of open channels that are not silent. */
  get open() {
    return this.#channels.size;
  }

  /** Silences all open channels; returns their number. */
  silence() {
    const { size } = this.#channels;
    for (const channel of this.#channels) {
      channel.isSilent = true;
      this.#silent.add(channel);
    }
    this.#channels.clear();
    return size;
  }

  #join(near) {
    const far = connect(this.target);
    const channel = { isSilent: false };
    this.#channels.add(channel);
    const pass = (from, to) => {
      from.on("data", (chunk) => {
        if (!channel.isSilent) {
          to.write(chunk);
        }
      });
      from.on("end", () => {
        if (!channel.isSilent) {
          to.end();
        }
      });
      from.on("error", () => undefined);
      from.on("close", () => {
        this.#channels.delete(channel);
        if (!channel.isSilent) {
          to.destroy();
        }
      });
    };
    pass(near, far);
    pass(far, near);
  }
}
