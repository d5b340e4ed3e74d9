/**
 * Upstreams that must be out of reach in a row, or all if there are fewer, before
 * the process takes itself for the one that is cut off.
 */
const minUnreached = 5;

/**
 * Tells whether a process has lost its paths to all upstreams, from the outcomes
 * of its new connections. Those that were open before may live on.
 */
export class Reachability {
  /** Ids of upstreams out of reach since any was last reached. */
  readonly #unreached = new Set<string>();
  #isIsolated = false;

  /** Whether the process reaches no upstream. */
  get isIsolated(): boolean {
    return this.#isIsolated;
  }

  /** Number of upstreams out of reach since any was last reached. */
  get unreachedCount(): number {
    return this.#unreached.size;
  }

  /** Whether an upstream was out of reach since any was last reached. */
  isUnreached(upstream: string): boolean {
    return this.#unreached.has(upstream);
  }

  /** Records a new connection. Returns whether it ends an isolation. */
  recordReached(): boolean {
    const wasIsolated = this.#isIsolated;
    this.#unreached.clear();
    this.#isIsolated = false;
    return wasIsolated;
  }

  /**
   * Records a connection that failed; `live` are the ids of all upstreams that are
   * listed as live. Returns whether an isolation begins.
   */
  recordUnreached(upstream: string, live: ReadonlySet<string>): boolean {
    this.#unreached.add(upstream);
    for (const id of this.#unreached) {
      if (!live.has(id)) {
        this.#unreached.delete(id);
      }
    }
    if (
      this.#isIsolated || live.size === 0 ||
      this.#unreached.size < Math.min(minUnreached, live.size)
    ) {
      return false;
    }
    this.#isIsolated = true;
    return true;
  }
}
