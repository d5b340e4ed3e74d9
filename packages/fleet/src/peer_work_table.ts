import type { PeerWork } from "./fleet_updates.ts";

/** The work in flight that peers have told of, by peer and engine. */
export class PeerWorkTable {
  readonly #workByPeer = new Map<string, Map<string, PeerWork>>();

  /** Applies a peer's changed figures; returns all of its work. */
  apply(peer: string, shares: readonly PeerWork[]): readonly PeerWork[] {
    const workByEngine = this.#workByPeer.get(peer) ??
      new Map<string, PeerWork>();
    this.#workByPeer.set(peer, workByEngine);
    for (const share of shares) {
      if (share.running === 0 && share.tokens === 0) {
        workByEngine.delete(share.engine);
      } else {
        workByEngine.set(share.engine, share);
      }
    }
    return [...workByEngine.values()];
  }

  /** Forgets the work of a peer; returns whether it had told of any. */
  delete(peer: string): boolean {
    return this.#workByPeer.delete(peer);
  }

  /** Forgets the work of all other peers; returns those that told of any. */
  retain(peers: ReadonlySet<string>): readonly string[] {
    const forgotten = [...this.#workByPeer.keys()].filter((peer) =>
      !peers.has(peer)
    );
    for (const peer of forgotten) {
      this.#workByPeer.delete(peer);
    }
    return forgotten;
  }

  /** Returns the requests that a peer runs; `undefined` if it told of none. */
  runningOf(peer: string): number | undefined {
    const workByEngine = this.#workByPeer.get(peer);
    return workByEngine === undefined
      ? undefined
      : [...workByEngine.values()].reduce(
        (sum, { running }) => sum + running,
        0,
      );
  }
}
