import { PeerClient } from "./peer_client.ts";
import type { PeerCredentials } from "./peer_credentials.ts";
import { isLoopback, plainCredentials } from "./peer_credentials.ts";

const maxClients = 64;

/** Cache of clients by address; the least recently used ones are closed. */
export class PeerClients {
  readonly #clients = new Map<string, PeerClient>();
  readonly #credentials: PeerCredentials;
  #isClosed = false;

  constructor(credentials: PeerCredentials = plainCredentials) {
    this.#credentials = credentials;
  }

  /**
   * Returns the client for an address, and creates it when there is none. After
   * `close` its calls fail, as nothing would close a new connection.
   */
  at(address: string): PeerClient {
    if (this.#isClosed) {
      const closed = this.#connect(address);
      closed.close();
      return closed;
    }
    const client = this.#clients.get(address) ?? this.#connect(address);
    this.#clients.delete(address);
    this.#clients.set(address, client);
    this.#evict();
    return client;
  }

  /** Closes all connections. */
  close(): void {
    this.#isClosed = true;
    for (const client of this.#clients.values()) {
      client.close();
    }
    this.#clients.clear();
  }

  /** Blocks connections beyond loopback without TLS or a private network. */
  #connect(address: string): PeerClient {
    const { channel, secure, privateNetwork } = this.#credentials;
    const blocked = !secure && !privateNetwork && !isLoopback(address);
    return new PeerClient(address, channel, blocked);
  }

  #evict(): void {
    for (const [address, client] of this.#clients) {
      if (this.#clients.size <= maxClients) {
        return;
      }
      client.close();
      this.#clients.delete(address);
    }
  }
}
