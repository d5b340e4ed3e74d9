import { PeerClient } from "./peer_client.ts";
import type { PeerCredentials } from "./peer_credentials.ts";
import { isLoopback, plainCredentials } from "./peer_credentials.ts";

const maxClients = 64;

/** Connections to peers, by address; the one not used for longest is closed. */
export class PeerClients {
  readonly #clients = new Map<string, PeerClient>();
  readonly #credentials: PeerCredentials;

  constructor(credentials: PeerCredentials = plainCredentials) {
    this.#credentials = credentials;
  }

  /** Returns the client of an address, and connects when there is none. */
  at(address: string): PeerClient {
    const client = this.#clients.get(address) ?? this.#connect(address);
    this.#clients.delete(address);
    this.#clients.set(address, client);
    this.#trim();
    return client;
  }

  /** Closes all connections. */
  close(): void {
    for (const client of this.#clients.values()) {
      client.close();
    }
    this.#clients.clear();
  }

  /** A plain connection leaves loopback only on a private network. */
  #connect(address: string): PeerClient {
    const { channel, secure, privateNetwork } = this.#credentials;
    const refused = !secure && !privateNetwork && !isLoopback(address);
    return new PeerClient(address, channel, refused);
  }

  #trim(): void {
    for (const [address, client] of this.#clients) {
      if (this.#clients.size <= maxClients) {
        return;
      }
      client.close();
      this.#clients.delete(address);
    }
  }
}
