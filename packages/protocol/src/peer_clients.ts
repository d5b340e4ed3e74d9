import { PeerClient } from "./peer_client.ts";

const maxClients = 64;

/** Connections to peers, by address; the one not used for longest is closed. */
export class PeerClients {
  readonly #clients = new Map<string, PeerClient>();

  /** Returns the client of an address, and connects when there is none. */
  at(address: string): PeerClient {
    const client = this.#clients.get(address) ?? new PeerClient(address);
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
