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

  /** Returns the peers that have told of their work. */
  peers(): readonly string[] {
    return [...this.#workByPeer.keys()];
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

  /** Deletes the work of peers that tell of it no more; returns their ids. */
  deleteUnlinked(linked: ReadonlySet<string>): readonly string[] {
    const unlinked = [...this.peers()].filter((id) => !linked.has(id));
    for (const id of unlinked) {
      this.delete(id);
    }
    return unlinked;
  }
}
