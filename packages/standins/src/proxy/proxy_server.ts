import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";

/** Faults that the proxy applies to its connections. */
export interface LinkFaults {
  /** Milliseconds by which each chunk is delayed. */
  readonly delayMs: number;
  /** Blocks both directions. */
  readonly stalled: boolean;
  /** Resets new connections. */
  readonly refused: boolean;
  /** Makes new connections silent for good. */
  readonly silent: boolean;
  /** Resets a connection after more than this many bytes from the upstream. */
  readonly resetAfterBytes: number | null;
  /** Direction that is blocked while the other one passes. */
  readonly blockedDirection: "none" | "to_upstream" | "from_upstream";
}

/** A link without faults. */
export const healthyLink: LinkFaults = {
  delayMs: 0,
  stalled: false,
  refused: false,
  silent: false,
  resetAfterBytes: null,
  blockedDirection: "none",
};

const stallPollMs = 10;

/** A connection through the proxy. */
interface Connection {
  /** Whether it carries nothing any more, not even its end. */
  isSilent: boolean;
}

/** A TCP proxy that applies `faults` to its connections. */
export class ProxyServer {
  readonly #host: string;
  readonly #port: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #connections = new Set<Connection>();
  /** Faults of new and open connections; may be replaced at any time. */
  faults: LinkFaults = healthyLink;

  constructor(upstream: string) {
    const [host = "", port = ""] = upstream.split(":");
    this.#host = host;
    this.#port = Number(port);
    this.#server = createServer({ allowHalfOpen: true }, (socket) => {
      this.#accept(socket);
    });
  }

  /** Listens on a free loopback port; returns host and port. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Resets every open connection. */
  resetConnections(): void {
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }

  /** Makes every open connection silent for good; new ones work. */
  silenceConnections(): void {
    for (const connection of this.#connections) {
      connection.isSilent = true;
    }
  }

  /** Resets every open connection and stops listening. */
  close(): void {
    this.resetConnections();
    this.#server.close();
  }

  #accept(downstream: Socket): void {
    if (this.faults.refused) {
      downstream.resetAndDestroy();
      return;
    }
    const upstream = connect({
      host: this.#host,
      port: this.#port,
      allowHalfOpen: true,
    });
    const pair = [downstream, upstream];
    const connection = { isSilent: this.faults.silent };
    this.#connections.add(connection);
    const destroyPair = () => {
      if (!connection.isSilent) {
        pair.forEach((endpoint) => endpoint.destroy());
      }
    };
    for (const socket of pair) {
      this.#sockets.add(socket);
      socket.on("error", destroyPair);
      socket.on("close", () => {
        this.#sockets.delete(socket);
        this.#connections.delete(connection);
        destroyPair();
      });
    }
    void this.#pump(downstream, upstream, {
      direction: "to_upstream",
      connection,
    });
    void this.#pump(upstream, downstream, {
      direction: "from_upstream",
      connection,
    });
  }

  async #pump(
    source: Socket,
    target: Socket,
    { direction, connection }: {
      readonly direction: "to_upstream" | "from_upstream";
      readonly connection: Connection;
    },
  ): Promise<void> {
    let bytes = 0;
    try {
      for await (const chunk of source) {
        await this.#waitForLink(direction);
        if (connection.isSilent) {
          continue;
        }
        bytes += (chunk as Buffer).length;
        const limit = this.faults.resetAfterBytes;
        if (direction === "from_upstream" && limit !== null && bytes > limit) {
          target.resetAndDestroy();
          source.resetAndDestroy();
          return;
        }
        target.write(chunk as Buffer);
      }
      if (!connection.isSilent) {
        target.end();
      }
    } catch {
      if (!connection.isSilent) {
        target.destroy();
      }
    }
  }

  async #waitForLink(
    direction: "to_upstream" | "from_upstream",
  ): Promise<void> {
    if (this.faults.delayMs > 0) {
      await delay(this.faults.delayMs);
    }
    while (this.faults.stalled || this.faults.blockedDirection === direction) {
      await delay(stallPollMs);
    }
  }
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
